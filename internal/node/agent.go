package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/probe"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// agentTick is how often the agent core does what is due.
const agentTick = 5 * time.Millisecond

// AgentConfig is what an agent knows besides the common settings.
type AgentConfig struct {
	Config
	// Upstream is the address of the server beside the agent.
	Upstream netip.AddrPort
	// Aliases is the prefix from which flows get their alias.
	Aliases netip.Prefix
	// Prober asks the upstream how it is; nil takes it for healthy.
	Prober probe.Prober
}

// Agent runs one agent.
type Agent struct {
	*base
	// life is the core of the current incarnation.
	life     atomic.Pointer[agent.Core]
	config   AgentConfig
	device   Device
	upstream *upstreamHealth

	stopping atomic.Bool
	// imported, ready and cold are used by the ticking goroutine only.
	imported bool
	ready    bool
	cold     time.Time

	mu   sync.Mutex
	held map[uint64]heldPacket
}

// heldPacket is an opening that waits for a decision.
type heldPacket struct {
	header frame.Header
	packet []byte
}

// NewAgent opens the frame link. Packets for the upstream and answers to the
// callers go to the device. Run must be called to start.
func NewAgent(cfg AgentConfig, device Device) (*Agent, error) {
	cfg.Role = vm.RoleUpstream
	cfg.setDefaults()
	cfg.Incarnation = afterHandoff(&cfg)
	a := &Agent{config: cfg, device: device, upstream: newUpstreamHealth(cfg.Prober), held: map[uint64]heldPacket{}}
	a.life.Store(newLife(&cfg, cfg.Incarnation))
	common, err := newBase(cfg.Config, view.Starting, func(v *view.View) { a.core().SetView(v) }, a.operatorMethods())
	if err != nil {
		return nil, err
	}
	a.base = common
	common.liveness.renewable = false
	return a, nil
}

func newLife(cfg *AgentConfig, incarnation vm.Incarnation) *agent.Core {
	return agent.New(agent.Config{
		VM: cfg.VM, Service: cfg.Service, Incarnation: incarnation,
		Upstream: cfg.Upstream, Aliases: cfg.Aliases, Hasher: cfg.Hasher, Recover: true, Events: cfg.Events,
		UpstreamStarted: bootTime(time.Now()),
	})
}

func (a *Agent) core() *agent.Core { return a.life.Load() }

// Run serves until the context ends. Flows that are left then are written to
// the data folder, if there is one, for the next life of the agent.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.serve(ctx); err != nil {
		return err
	}
	return a.saveHandoff()
}

func (a *Agent) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	a.start(ctx, group)
	group.Go(func() error { return a.transport.closeOn(ctx) })
	group.Go(func() error { <-ctx.Done(); return a.device.Close() })
	group.Go(func() error { return a.transport.receive(a.newWorker()) })
	group.Go(a.readUpstream)
	group.Go(func() error { return a.tick(ctx) })
	group.Go(func() error { return a.runProbes(ctx) })
	group.Go(func() error { return a.runGauges(ctx) })
	return group.Wait()
}

func (a *Agent) tick(ctx context.Context) error {
	w := a.newWorker()
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.advanceStart(now)
			w.actions.Clear()
			a.core().Tick(now, &w.actions)
			w.execute(nil, nil)
			w.batchEnd()
		}
	}
}

// readUpstream handles packets of the upstream until the device is closed.
func (a *Agent) readUpstream() error {
	w := a.newWorker()
	buffer := make([]byte, packetBufferBytes)
	for {
		n, err := a.device.ReadPacket(buffer)
		if errors.Is(err, os.ErrClosed) || udplink.Closed(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read upstream packets: %w", err)
		}
		w.fromUpstream(buffer[:n])
	}
}

// worker is the state of one goroutine that handles packets.
type worker struct {
	a       *Agent
	parser  packet.Parser
	meta    packet.Meta
	actions agent.Actions
	queue   *udplink.Queue
}

func (a *Agent) newWorker() *worker { return &worker{a: a, queue: a.transport.link.NewQueue()} }

// packet implements receiver.
func (w *worker) packet(h *frame.Header, body []byte) {
	if err := w.parser.Parse(body, &w.meta); err != nil {
		w.a.transport.countPacket(err)
		return
	}
	w.actions.Clear()
	header, span := w.startSpan(h)
	w.a.core().HandleFrame(time.Now(), header, &w.meta, &w.actions)
	w.endSpan(span)
	w.execute(header, body)
}

func (w *worker) message(_ netip.AddrPort, m *peer.Message) {
	w.actions.Clear()
	w.a.core().HandlePeer(time.Now(), m, &w.actions)
	w.execute(nil, nil)
}

func (w *worker) gossip(from netip.AddrPort, body []byte) { w.a.liveness.handle(from, body) }

func (w *worker) batchEnd() {
	if err := w.queue.Flush(); err != nil {
		w.a.transport.count("drop.send")
	}
}

func (w *worker) fromUpstream(p []byte) {
	err := w.parser.Parse(p, &w.meta)
	if err == nil {
		err = packet.DecrementTTL(p)
	}
	if err != nil {
		w.a.transport.countPacket(err)
		return
	}
	w.actions.Clear()
	w.a.core().HandleUpstream(time.Now(), &w.meta, &w.actions)
	w.execute(nil, p)
	w.batchEnd()
}

// drainPoll is how often a draining agent looks whether its flows have ended.
const drainPoll = 100 * time.Millisecond

// Drain prepares the end of the process. If the VM is leaving, it returns when
// the last flow has ended, without a time limit. Otherwise this is a restart:
// the flows stay with the kernel, and the next life takes them up again.
func (a *Agent) Drain(ctx context.Context) error {
	a.stopping.Store(true)
	if !a.leaving() {
		return nil
	}
	a.core().Drain(time.Now())
	a.liveness.announce(view.Leaving)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !a.core().Done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	a.liveness.announce(view.Left)
	return nil
}

// leaving reports whether the intent takes this VM out of service.
func (a *Agent) leaving() bool {
	machine, ok := a.feed.current().FindVM(a.cfg.VM)
	return ok && machine.Status != intent.Active
}

// WaitingFor says what a stopping agent still waits for.
func (a *Agent) WaitingFor() string {
	if !a.core().Draining() {
		return ""
	}
	var parts []string
	for _, w := range a.core().PendingWork() {
		parts = append(parts, fmt.Sprintf("%d %s", w.Count, w.Kind))
	}
	return strings.Join(parts, ", ")
}

// Health says whether the agent serves its upstream.
func (a *Agent) Health() telemetry.Health { return a.health(a.stopping.Load()) }

// operatorMethods returns the jsonrpc2 methods for operators.
func (a *Agent) operatorMethods() rpc.Methods {
	return rpc.Methods{
		controlapi.EventsList: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			return a.events(params)
		},
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return a.agentStatus(), nil
		},
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			request, err := rpc.Decode[controlapi.ExplainRequest](params)
			if err != nil {
				return nil, err
			}
			return a.explainHeld(request), nil
		},
	}
}

func (a *Agent) agentStatus() controlapi.Status {
	status := a.status(a.WaitingFor())
	core := a.core()
	established, halfOpen := core.Flows()
	load := core.Load()
	status.Upstream = &controlapi.UpstreamStatus{
		Service: a.cfg.Service, Status: load.Status, Slots: load.Slots, Busy: load.Busy, Queued: load.Queued,
		Flows: established, HalfOpen: halfOpen, Connections: load.MaxFlows,
	}
	return status
}

// explainHeld adds what this agent knows about the flow itself.
func (a *Agent) explainHeld(request controlapi.ExplainRequest) controlapi.Explanation {
	answer := a.explain(request)
	known := a.core().Explain(time.Now(), explainKey(request))
	answer.Holder = known.Holder
	answer.Reasons = append(answer.Reasons, known.Reasons...)
	return answer
}
