package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/balancer"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Balancer runs one balancer.
type Balancer struct {
	*base
	core   *balancer.Core
	device Device
}

// NewBalancer opens the frame link. Run must be called to start.
func NewBalancer(cfg Config, device Device) (*Balancer, error) {
	cfg.Role = vm.RoleBalancer
	b := &Balancer{device: device, core: balancer.New(balancer.Config{
		VM: cfg.VM, Hasher: cfg.Hasher, OpeningsPerSecond: cfg.MaxOpenings,
		TraceShare: traceShare(cfg.TraceEvery), Random: rand.New(rand.NewPCG(cfg.Seed, traceStream)),
	})}
	common, err := newBase(cfg, view.Ready, b.core.SetView, b.operatorMethods())
	if err != nil {
		return nil, err
	}
	b.base = common
	return b, nil
}

// traceStream keeps the choice of traced openings apart from other choices that
// use the same seed.
const traceStream = 2

// traceShare returns the share of openings that are traced.
func traceShare(every int) float64 {
	if every <= 0 {
		return 0
	}
	return 1 / float64(every)
}

// Run forwards packets until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	b.start(ctx, group)
	group.Go(func() error { return b.transport.closeOn(ctx) })
	group.Go(func() error { <-ctx.Done(); return b.device.Close() })
	group.Go(func() error { return b.transport.receive(&balancerReceiver{b}) })
	group.Go(b.forward)
	return group.Wait()
}

// Drain announces that the balancer is leaving and returns when no packet has
// come for a while. It has no time limit of its own.
func (b *Balancer) Drain(ctx context.Context) error {
	b.core.Drain(time.Now())
	b.liveness.announce(view.Leaving)
	ticker := time.NewTicker(balancer.IdleBeforeStop / 10)
	defer ticker.Stop()
	for !b.core.CanStop(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	b.liveness.announce(view.Left)
	return nil
}

// Stopping reports whether Drain was called.
func (b *Balancer) Stopping() bool { return b.core.State() == balancer.Draining }

// WaitingFor says what a stopping balancer still waits for.
func (b *Balancer) WaitingFor() string {
	if !b.Stopping() {
		return ""
	}
	return fmt.Sprintf("no packet for %s (last one %s ago)", balancer.IdleBeforeStop, b.core.Quiet(time.Now()).Round(time.Millisecond))
}

// batchDevice is a device that reads several packets with one system call.
type batchDevice interface {
	ReceiveBatch(b *udplink.Batch) error
}

// forward handles packets of callers until the device is closed.
func (b *Balancer) forward() error {
	f := b.newForwarder()
	read := b.readOne(f)
	if device, ok := b.device.(batchDevice); ok {
		read = readBatch(device, f)
	}
	for {
		err := read()
		if errors.Is(err, os.ErrClosed) || udplink.Closed(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read packets: %w", err)
		}
		if err := f.queue.Flush(); err != nil {
			b.transport.count("drop.send")
		}
	}
}

func (b *Balancer) newForwarder() *forwarder {
	return &forwarder{b: b, queue: b.transport.link.NewQueue(), forwarded: metrics.GetOrRegisterCounter("forwarded", b.cfg.Metrics)}
}

func (b *Balancer) readOne(f *forwarder) func() error {
	buffer := make([]byte, packetBufferBytes)
	return func() error {
		n, err := b.device.ReadPacket(buffer)
		if err != nil {
			return err
		}
		f.handle(time.Now(), buffer[:n])
		return nil
	}
}

// fullBatchLimit is how many full batches in a row count as a full queue. The
// socket does not tell how many packets wait, but a queue that is not emptied
// over so many batches is growing.
const fullBatchLimit = 128

// nextFull returns how many full batches were read in a row, up to the limit.
func nextFull(full, packets int) int {
	if packets < udplink.BatchSize {
		return 0
	}
	return min(full+1, fullBatchLimit)
}

func readBatch(device batchDevice, f *forwarder) func() error {
	batch, full := udplink.NewBatch(), 0
	return func() error {
		if err := device.ReceiveBatch(batch); err != nil {
			return err
		}
		full = nextFull(full, batch.Len())
		f.b.core.SetQueueFill(balancer.QueueFill{Queued: full, Capacity: fullBatchLimit})
		now := time.Now()
		for i := range batch.Len() {
			f.handle(now, batch.Datagram(i))
		}
		return nil
	}
}

// forwarder is the state of one forwarding goroutine.
type forwarder struct {
	b         *Balancer
	parser    packet.Parser
	meta      packet.Meta
	decision  balancer.Decision
	queue     *udplink.Queue
	forwarded metrics.Counter
}

func (f *forwarder) handle(now time.Time, p []byte) {
	b := f.b
	if err := f.accept(p); err != nil {
		b.transport.countPacket(err)
		return
	}
	// Packets of other protocols do not get here: the kernel sends router
	// solicitations into a TUN device, which would prolong a planned stop.
	b.core.Decide(now, &f.meta, &f.decision)
	switch f.decision.Verdict {
	case balancer.Send:
		f.send(p)
	case balancer.Reset:
		b.transport.count("reset." + string(f.decision.Reason))
		f.reset(p)
	default:
		b.transport.count("drop." + string(f.decision.Reason))
	}
}

func (f *forwarder) accept(p []byte) error {
	if err := f.parser.Parse(p, &f.meta); err != nil {
		return err
	}
	return packet.DecrementTTL(p)
}

func (f *forwarder) send(p []byte) {
	f.trace()
	if len(p) > udplink.MaxDatagram-frame.MaxOverhead {
		f.b.transport.count("drop.oversize")
		return
	}
	sealed, err := f.b.cfg.Keys.Seal(f.queue.Next(), &f.decision.Header, p)
	if err != nil {
		f.b.transport.count("drop.seal")
		return
	}
	if err := f.queue.Add(sealed, f.decision.To.Address); err != nil {
		f.b.transport.count("drop.send")
		return
	}
	f.forwarded.Inc(1)
}

// trace starts the trace of an opening that the core has chosen.
func (f *forwarder) trace() {
	if !f.decision.Sampled {
		return
	}
	context, span := f.b.cfg.Tracer.Start("balancer.opening",
		attribute.String("vm", string(f.b.cfg.VM)), attribute.String("flow", f.meta.CallerKey().String()),
		attribute.String("service", string(f.decision.Service.Name)), attribute.String("to", string(f.decision.To.VM)))
	f.decision.Header.Trace = context
	if span != nil {
		span.End()
	}
}

func (f *forwarder) reset(p []byte) {
	answer, err := packet.BuildReset(p, &f.meta)
	if err != nil {
		return
	}
	if err := f.b.device.WritePacket(answer); err != nil {
		f.b.transport.count("drop.device")
	}
}

// countPacket counts a packet that was not accepted.
func (t *transport) countPacket(err error) {
	var rejected *packet.Error
	if errors.As(err, &rejected) {
		t.count("drop.packet." + string(rejected.Reason))
	}
}

// balancerReceiver takes the hints of agents.
type balancerReceiver struct {
	b *Balancer
}

func (r *balancerReceiver) packet(*frame.Header, []byte) {
	r.b.transport.count("drop.unexpected_packet")
}

func (r *balancerReceiver) message(_ netip.AddrPort, m *peer.Message) {
	if m.Hint == nil {
		r.b.transport.count("drop.unexpected_message")
		return
	}
	r.b.core.HandleHint(m.Hint)
}

func (r *balancerReceiver) gossip(from netip.AddrPort, body []byte) { r.b.liveness.handle(from, body) }

func (r *balancerReceiver) batchEnd() {}

// Health says whether the fabric should send packets here.
func (b *Balancer) Health() telemetry.Health { return b.health(b.Stopping()) }

// operatorMethods returns the jsonrpc2 methods for operators.
func (b *Balancer) operatorMethods() rpc.Methods {
	return rpc.Methods{
		controlapi.EventsList: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			return b.events(params)
		},
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return b.status(b.WaitingFor()), nil
		},
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			request, err := rpc.Decode[controlapi.ExplainRequest](params)
			if err != nil {
				return nil, err
			}
			return b.explainHint(request), nil
		},
	}
}

// explainHint adds what the core knows about the flow.
func (b *Balancer) explainHint(request controlapi.ExplainRequest) controlapi.Explanation {
	answer := b.explain(request)
	known := b.core.Explain(explainKey(request))
	answer.Holder, answer.Reasons = known.Holder, known.Reasons
	return answer
}
