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
		TraceShare: tracedFraction(cfg.TraceEvery), Random: rand.New(rand.NewPCG(cfg.Seed, traceRandomStream)),
	})}
	shared, err := newBase(cfg, view.Ready, b.core.SetView, b.operatorMethods())
	if err != nil {
		return nil, err
	}
	b.base = shared
	return b, nil
}

// traceRandomStream separates the random numbers that select traced openings from
// other random numbers with the same seed.
const traceRandomStream = 2

// tracedFraction returns the fraction of openings that are traced if one of
// interval openings is.
func tracedFraction(interval int) float64 {
	if interval <= 0 {
		return 0
	}
	return 1 / float64(interval)
}

// Run forwards packets until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	b.startCommon(ctx, group)
	group.Go(func() error { return b.transport.closeWhenDone(ctx) })
	group.Go(func() error { <-ctx.Done(); return b.device.Close() })
	group.Go(func() error { return b.transport.receiveFrames(&balancerFrameHandler{b}) })
	group.Go(b.forwardPackets)
	return group.Wait()
}

// Drain announces that the balancer is leaving. It returns when no packet has
// arrived for balancer.IdleBeforeStop, without a time limit of its own.
func (b *Balancer) Drain(ctx context.Context) error {
	b.core.Drain(time.Now())
	b.membership.announceStatus(view.Leaving)
	ticker := time.NewTicker(balancer.IdleBeforeStop / 10)
	defer ticker.Stop()
	for !b.core.CanStop(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	b.membership.announceStatus(view.Left)
	return nil
}

// Stopping reports whether Drain was called.
func (b *Balancer) Stopping() bool { return b.core.State() == balancer.Draining }

// PendingOnStop describes the idle time that a draining balancer still waits for. It
// is empty while the balancer does not drain.
func (b *Balancer) PendingOnStop() string {
	if !b.Stopping() {
		return ""
	}
	return fmt.Sprintf("no packet for %s (last one %s ago)", balancer.IdleBeforeStop, b.core.IdleTime(time.Now()).Round(time.Millisecond))
}

// batchDevice is a device that reads several packets with one system call.
type batchDevice interface {
	ReceiveBatch(b *udplink.Batch) error
}

// forwardPackets handles packets of callers until the device is closed.
func (b *Balancer) forwardPackets() error {
	forwarder := b.newForwarder()
	readPackets := b.newSingleReader(forwarder)
	if device, ok := b.device.(batchDevice); ok {
		readPackets = newBatchReader(device, forwarder)
	}
	for {
		err := readPackets()
		if errors.Is(err, os.ErrClosed) || udplink.Closed(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read packets: %w", err)
		}
		if err := forwarder.sendQueue.Flush(); err != nil {
			b.transport.incrementCounter("drop.send")
		}
	}
}

func (b *Balancer) newForwarder() *forwarder {
	return &forwarder{balancer: b, sendQueue: b.transport.link.NewQueue(), forwardedCounter: metrics.GetOrRegisterCounter("forwarded", b.cfg.Metrics)}
}

func (b *Balancer) newSingleReader(f *forwarder) func() error {
	buffer := make([]byte, packetBufferBytes)
	return func() error {
		n, err := b.device.ReadPacket(buffer)
		if err != nil {
			return err
		}
		f.handlePacket(time.Now(), buffer[:n])
		return nil
	}
}

// fullBatchesAtSaturation is how many consecutive full batches count as a full
// receive queue. The socket does not report its queue length, but a queue that is
// not emptied over this many batches is growing.
const fullBatchesAtSaturation = 128

// countFullBatches returns the number of consecutive full batches after one of the
// given number of packets, up to fullBatchesAtSaturation.
func countFullBatches(previous, packets int) int {
	if packets < udplink.BatchSize {
		return 0
	}
	return min(previous+1, fullBatchesAtSaturation)
}

func newBatchReader(device batchDevice, f *forwarder) func() error {
	batch, fullBatches := udplink.NewBatch(), 0
	return func() error {
		if err := device.ReceiveBatch(batch); err != nil {
			return err
		}
		fullBatches = countFullBatches(fullBatches, batch.Len())
		f.balancer.core.SetQueueFill(balancer.QueueFill{Queued: fullBatches, Capacity: fullBatchesAtSaturation})
		now := time.Now()
		for i := range batch.Len() {
			f.handlePacket(now, batch.Datagram(i))
		}
		return nil
	}
}

// forwarder is the state of one forwarding goroutine.
type forwarder struct {
	balancer         *Balancer
	parser           packet.Parser
	meta             packet.Meta
	decision         balancer.Decision
	sendQueue        *udplink.Queue
	forwardedCounter metrics.Counter
}

func (f *forwarder) handlePacket(now time.Time, p []byte) {
	b := f.balancer
	if err := f.parseAndDecrementTTL(p); err != nil {
		b.transport.countPacketError(err)
		return
	}
	// Only packets that the parser accepts reach the core and count as traffic. The
	// parser rejects router solicitations, which the kernel sends into a TUN device.
	// If they counted as traffic, they would delay the end of a drain.
	b.core.Decide(now, &f.meta, &f.decision)
	switch f.decision.Verdict {
	case balancer.Send:
		f.sendFrame(p)
	case balancer.Reset:
		b.transport.incrementCounter("reset." + string(f.decision.Reason))
		f.sendReset(p)
	default:
		b.transport.incrementCounter("drop." + string(f.decision.Reason))
	}
}

func (f *forwarder) parseAndDecrementTTL(p []byte) error {
	if err := f.parser.Parse(p, &f.meta); err != nil {
		return err
	}
	return packet.DecrementTTL(p)
}

func (f *forwarder) sendFrame(p []byte) {
	f.startTrace()
	if len(p) > udplink.MaxDatagram-frame.MaxOverhead {
		f.balancer.transport.incrementCounter("drop.oversize")
		return
	}
	sealed, err := f.balancer.cfg.Keys.Seal(f.sendQueue.Next(), &f.decision.Header, p)
	if err != nil {
		f.balancer.transport.incrementCounter("drop.seal")
		return
	}
	if err := f.sendQueue.Add(sealed, f.decision.To.Address); err != nil {
		f.balancer.transport.incrementCounter("drop.send")
		return
	}
	f.forwardedCounter.Inc(1)
}

// startTrace starts the trace of an opening that the core has sampled.
func (f *forwarder) startTrace() {
	if !f.decision.Sampled {
		return
	}
	context, span := f.balancer.cfg.Tracer.Start("balancer.opening",
		attribute.String("vm", string(f.balancer.cfg.VM)), attribute.String("flow", f.meta.CallerKey().String()),
		attribute.String("service", string(f.decision.Service.Name)), attribute.String("to", string(f.decision.To.VM)))
	f.decision.Header.Trace = context
	if span != nil {
		span.End()
	}
}

func (f *forwarder) sendReset(p []byte) {
	resetPacket, err := packet.BuildReset(p, &f.meta)
	if err != nil {
		return
	}
	if err := f.balancer.device.WritePacket(resetPacket); err != nil {
		f.balancer.transport.incrementCounter("drop.device")
	}
}

// countPacketError counts a packet that was rejected, by its reason.
func (t *transport) countPacketError(err error) {
	var packetErr *packet.Error
	if errors.As(err, &packetErr) {
		t.incrementCounter("drop.packet." + string(packetErr.Reason))
	}
}

// balancerFrameHandler passes the hints of agents to the core and drops other peer
// messages.
type balancerFrameHandler struct {
	balancer *Balancer
}

func (r *balancerFrameHandler) handlePacket(*frame.Header, []byte) {
	r.balancer.transport.incrementCounter("drop.unexpected_packet")
}

func (r *balancerFrameHandler) handlePeerMessage(_ netip.AddrPort, m *peer.Message) {
	if m.Hint == nil {
		r.balancer.transport.incrementCounter("drop.unexpected_message")
		return
	}
	r.balancer.core.HandleHint(m.Hint)
}

func (r *balancerFrameHandler) handleGossip(from netip.AddrPort, body []byte) {
	r.balancer.membership.handleGossip(from, body)
}

func (r *balancerFrameHandler) finishBatch() {}

// Health reports whether the fabric should send packets to this balancer.
func (b *Balancer) Health() telemetry.Health { return b.nodeHealth(b.Stopping()) }

// operatorMethods returns the jsonrpc2 methods for operators.
func (b *Balancer) operatorMethods() rpc.Methods {
	return rpc.Methods{
		controlapi.EventsList: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			return b.listEvents(params)
		},
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return b.nodeStatus(b.PendingOnStop()), nil
		},
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			request, err := rpc.Decode[controlapi.ExplainRequest](params)
			if err != nil {
				return nil, err
			}
			return b.explainWithHints(request), nil
		},
	}
}

// explainWithHints adds the holder and the reasons that the core has stored for the
// flow.
func (b *Balancer) explainWithHints(request controlapi.ExplainRequest) controlapi.Explanation {
	explanation := b.explainRanking(request)
	coreExplanation := b.core.Explain(flowKey(request))
	explanation.Holder, explanation.Reasons = coreExplanation.Holder, coreExplanation.Reasons
	return explanation
}
