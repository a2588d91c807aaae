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

// agentTickInterval is how often the timers of the agent core are run.
const agentTickInterval = 5 * time.Millisecond

// AgentConfig holds the settings of an agent besides those of every node.
type AgentConfig struct {
	Config
	// Upstream is the address of the upstream server on the VM of the agent.
	Upstream netip.AddrPort
	// Aliases is the prefix of the alias addresses. The upstream sees the alias of
	// a flow in place of the caller's address.
	Aliases netip.Prefix
	// Prober checks the health of the upstream. Without one, the upstream counts as
	// healthy.
	Prober probe.Prober
}

// Agent runs one agent.
type Agent struct {
	*base
	// currentCore is the core of the current incarnation.
	currentCore    atomic.Pointer[agent.Core]
	agentConfig    AgentConfig
	device         Device
	upstreamHealth *upstreamHealth

	stopping atomic.Bool
	// The next three fields are used by the goroutine of runTicks only.
	handoffLoaded        bool
	announcedReady       bool
	announcedWarmUpUntil time.Time

	mu             sync.Mutex
	queuedOpenings map[uint64]queuedOpening
}

// queuedOpening is an opening that waits for a decision of the core.
type queuedOpening struct {
	header frame.Header
	packet []byte
}

// NewAgent opens the frame link. Packets for the upstream and replies to callers
// are written to the device. Run must be called to start.
func NewAgent(cfg AgentConfig, device Device) (*Agent, error) {
	cfg.Role = vm.RoleUpstream
	cfg.setDefaults()
	cfg.Incarnation = incarnationAfterHandoff(&cfg)
	a := &Agent{agentConfig: cfg, device: device, upstreamHealth: newUpstreamHealth(cfg.Prober), queuedOpenings: map[uint64]queuedOpening{}}
	a.currentCore.Store(newAgentCore(&cfg, cfg.Incarnation))
	shared, err := newBase(cfg.Config, view.Starting, func(v *view.View) { a.core().SetView(v) }, a.operatorMethods())
	if err != nil {
		return nil, err
	}
	a.base = shared
	shared.membership.announcesIncarnations = false
	return a, nil
}

func newAgentCore(cfg *AgentConfig, incarnation vm.Incarnation) *agent.Core {
	return agent.New(agent.Config{
		VM: cfg.VM, Service: cfg.Service, Incarnation: incarnation,
		Upstream: cfg.Upstream, Aliases: cfg.Aliases, Hasher: cfg.Hasher, Recover: true, Events: cfg.Events,
		UpstreamStarted: bootTime(time.Now()),
	})
}

func (a *Agent) core() *agent.Core { return a.currentCore.Load() }

// Run serves until the context ends. It then writes the remaining flows to the
// data folder, if there is one, for the next incarnation of the agent.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.serve(ctx); err != nil {
		return err
	}
	return a.saveHandoff()
}

func (a *Agent) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	a.startCommon(ctx, group)
	group.Go(func() error { return a.transport.closeWhenDone(ctx) })
	group.Go(func() error { <-ctx.Done(); return a.device.Close() })
	group.Go(func() error { return a.transport.receiveFrames(a.newPacketWorker()) })
	group.Go(a.readUpstreamPackets)
	group.Go(func() error { return a.runTicks(ctx) })
	group.Go(func() error { return a.runProbes(ctx) })
	group.Go(func() error { return a.runGaugeUpdates(ctx) })
	return group.Wait()
}

func (a *Agent) runTicks(ctx context.Context) error {
	worker := a.newPacketWorker()
	ticker := time.NewTicker(agentTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.advanceStartup(now)
			worker.actions.Clear()
			a.core().Tick(now, &worker.actions)
			worker.executeActions(nil, nil)
			worker.finishBatch()
		}
	}
}

// readUpstreamPackets handles packets of the upstream until the device is closed.
func (a *Agent) readUpstreamPackets() error {
	worker := a.newPacketWorker()
	buffer := make([]byte, packetBufferBytes)
	for {
		n, err := a.device.ReadPacket(buffer)
		if errors.Is(err, os.ErrClosed) || udplink.Closed(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read upstream packets: %w", err)
		}
		worker.handleUpstreamPacket(buffer[:n])
	}
}

// packetWorker is the state of one goroutine that handles packets.
type packetWorker struct {
	agent     *Agent
	parser    packet.Parser
	meta      packet.Meta
	actions   agent.Actions
	sendQueue *udplink.Queue
}

func (a *Agent) newPacketWorker() *packetWorker {
	return &packetWorker{agent: a, sendQueue: a.transport.link.NewQueue()}
}

// handlePacket implements frameHandler.
func (w *packetWorker) handlePacket(h *frame.Header, body []byte) {
	if err := w.parser.Parse(body, &w.meta); err != nil {
		w.agent.transport.countPacketError(err)
		return
	}
	w.actions.Clear()
	header, span := w.startOpeningSpan(h)
	w.agent.core().HandleFrame(time.Now(), header, &w.meta, &w.actions)
	w.endOpeningSpan(span)
	w.executeActions(header, body)
}

func (w *packetWorker) handlePeerMessage(_ netip.AddrPort, m *peer.Message) {
	w.actions.Clear()
	w.agent.core().HandlePeerMessage(time.Now(), m, &w.actions)
	w.executeActions(nil, nil)
}

func (w *packetWorker) handleGossip(from netip.AddrPort, body []byte) {
	w.agent.membership.handleGossip(from, body)
}

func (w *packetWorker) finishBatch() {
	if err := w.sendQueue.Flush(); err != nil {
		w.agent.transport.incrementCounter("drop.send")
	}
}

func (w *packetWorker) handleUpstreamPacket(p []byte) {
	err := w.parser.Parse(p, &w.meta)
	if err == nil {
		err = packet.DecrementTTL(p)
	}
	if err != nil {
		w.agent.transport.countPacketError(err)
		return
	}
	w.actions.Clear()
	w.agent.core().HandleUpstreamPacket(time.Now(), &w.meta, &w.actions)
	w.executeActions(nil, p)
	w.finishBatch()
}

// drainPollInterval is how often a draining agent checks whether its flows have
// ended.
const drainPollInterval = 100 * time.Millisecond

// Drain prepares the end of the process. If the intent takes the VM out of
// service, Drain returns when the last flow has ended, without a time limit.
// Otherwise the process is being restarted: the kernel keeps the connections, and
// the next incarnation imports the flows.
func (a *Agent) Drain(ctx context.Context) error {
	a.stopping.Store(true)
	if !a.removedFromService() {
		return nil
	}
	a.core().Drain(time.Now())
	a.membership.announceStatus(view.Leaving)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !a.core().Drained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	a.membership.announceStatus(view.Left)
	return nil
}

// removedFromService reports whether the intent takes this VM out of service.
func (a *Agent) removedFromService() bool {
	inventoryVM, ok := a.intentFeed.appliedState().FindVM(a.cfg.VM)
	return ok && inventoryVM.Status != intent.Active
}

// PendingOnStop describes the work that a draining agent still has to finish. It is
// empty while the agent does not drain.
func (a *Agent) PendingOnStop() string {
	if !a.core().Draining() {
		return ""
	}
	var parts []string
	for _, w := range a.core().PendingWork() {
		parts = append(parts, fmt.Sprintf("%d %s", w.Count, w.Kind))
	}
	return strings.Join(parts, ", ")
}

// Health reports whether the agent serves its upstream.
func (a *Agent) Health() telemetry.Health { return a.nodeHealth(a.stopping.Load()) }

// operatorMethods returns the jsonrpc2 methods for operators.
func (a *Agent) operatorMethods() rpc.Methods {
	return rpc.Methods{
		controlapi.EventsList: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			return a.listEvents(params)
		},
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return a.agentStatus(), nil
		},
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			request, err := rpc.Decode[controlapi.ExplainRequest](params)
			if err != nil {
				return nil, err
			}
			return a.explainWithAgentState(request), nil
		},
	}
}

func (a *Agent) agentStatus() controlapi.Status {
	status := a.nodeStatus(a.PendingOnStop())
	core := a.core()
	established, halfOpen := core.FlowCounts()
	load := core.Load()
	status.Upstream = &controlapi.UpstreamStatus{
		Service: a.cfg.Service, Status: load.Status, Slots: load.Slots, Busy: load.Busy, Queued: load.Queued,
		Flows: established, HalfOpen: halfOpen, Connections: load.MaxFlows,
	}
	return status
}

// explainWithAgentState adds the holder and the reasons that this agent has stored
// for the flow.
func (a *Agent) explainWithAgentState(request controlapi.ExplainRequest) controlapi.Explanation {
	explanation := a.explainRanking(request)
	agentExplanation := a.core().Explain(time.Now(), flowKey(request))
	explanation.Holder = agentExplanation.Holder
	explanation.Reasons = append(explanation.Reasons, agentExplanation.Reasons...)
	return explanation
}
