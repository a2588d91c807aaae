package fabric

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/decisionlog"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// idleBeforeStop is the time without packets after which a stopping balancer
	// exits. Until then it keeps forwarding. The fabric needs two readiness probes,
	// half a second apart, to stop sending.
	idleBeforeStop = 300 * time.Millisecond
	// maxStopFraction bounds the draining of a stopping balancer, as a fraction of
	// the grace period, so that it exits before the platform kills it.
	maxStopFraction  = 0.7
	idlePollInterval = 50 * time.Millisecond
	// firstUpstreamWait is how long a balancer stays unready while no upstream is
	// ready. After that it takes traffic, but can only refuse it.
	firstUpstreamWait = 2 * time.Second
)

// Balancer runs on an entry VM and forwards the packets of callers to agents.
type Balancer struct {
	packetProcessor
	core       *steering.Balancer
	packetConn *net.UDPConn
	// actionCounters counts actions by kind and reason.
	actionCounters actionCounters
	// firstResponseAt is when the first sync response of control arrived.
	firstResponseAt time.Time
	// lastPacketAt is when the last packet of a caller arrived.
	lastPacketAt time.Time
	stopping     bool
}

// NewBalancer opens the sockets of a balancer. Run processes packets.
func NewBalancer(cfg Config, deps Dependencies) (*Balancer, error) {
	shared, err := newNode(cfg, deps, vm.RoleBalancer, cfg.NodePort, true)
	if err != nil {
		return nil, err
	}
	packetConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PacketAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open packet socket: %w", err), shared.close())
	}
	b := &Balancer{
		packetProcessor: packetProcessor{node: shared}, packetConn: packetConn, actionCounters: newActionCounters(deps.Registry),
		core: steering.NewBalancer(steering.BalancerConfig{Zone: cfg.Zone, MaxFlows: cfg.maxFlows(), Random: newRandom(), LinkBitsPerSecond: cfg.LinkBitsPerSecond, AdmitsByClass: cfg.AdmitsByClass}),
	}
	shared.onTimer = func(now time.Time) {
		b.runDecision(now, func(out *[]steering.Action) { b.core.Tick(now, out) })
		b.setGauge("flows", b.core.Flows())
		b.setGauge("packets.held", b.core.HeldPackets())
		b.setGauge("upstreams.ready", b.core.ReadyUpstreams())
		b.setGauge("desired.version", int(b.appliedVersion))
	}
	shared.nextDeadline = b.core.Deadline
	b.execute = b.executeAction
	registerHandler(shared.transport, kindSteering, shared.countRejected, b.handleAgentMessage)
	registerHandler(shared.transport, kindSyncResponse, shared.countRejected, b.handleSyncResponse)
	registerHandler(shared.transport, kindTerms, shared.countRejected, b.handleTerms)
	shared.transport.handlers[kindDesiredState] = b.handleDesiredState
	return b, nil
}

// Run processes packets until the context ends, then drains: it reports that the
// balancer is not ready, and forwards packets until the fabric sends no more.
func (b *Balancer) Run(ctx context.Context) error {
	group := errgroup.Group{}
	group.Go(b.transport.receiveMessages)
	group.Go(func() error { return b.receivePackets(b.packetConn, false, b.handleCallerPacket) })
	b.publishStatus(view.Ready)
	<-ctx.Done()
	b.drain()
	err := errors.Join(b.packetConn.Close(), b.close())
	return errors.Join(err, group.Wait())
}

func (b *Balancer) publishStatus(status view.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sendSyncRequests(b.directoryClient.PublishRecord(now, func(r *directory.Record) { r.Status = status }))
	b.resetTimer(now)
}

// drain publishes that the balancer has left. It then waits until no packet has
// arrived for idleBeforeStop and none waits for the link, but at most for
// maxStopFraction of the grace period.
func (b *Balancer) drain() {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.publishStatus(view.Left)
	started := time.Now()
	limit := time.Duration(maxStopFraction * float64(b.cfg.StopGracePeriod))
	for time.Since(started) < limit {
		time.Sleep(idlePollInterval)
		b.mu.Lock()
		idle := time.Since(b.lastPacketAt) > idleBeforeStop && time.Since(started) > idleBeforeStop && b.core.HeldPackets() == 0
		b.mu.Unlock()
		if idle {
			return
		}
	}
}

// Ready reports whether the fabric may send packets to this balancer.
func (b *Balancer) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping || !b.directoryClient.Connected() || b.core.Version() == 0 {
		return false
	}
	return b.core.ReadyUpstreams() > 0 || time.Since(b.firstResponseAt) > firstUpstreamWait
}

// ExplainPlacement returns where an opening of a caller would go now, without sending it.
func (b *Balancer) ExplainPlacement(virtual, caller netip.AddrPort) steering.PlacementExplanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ExplainPlacement(time.Now(), virtual, caller)
}

func (b *Balancer) handleCallerPacket(now time.Time, packet *steering.Packet, data []byte, _ netip.Addr, out *[]steering.Action) {
	b.lastPacketAt = now
	b.core.HandlePacket(now, packet, data, out)
}

// executeAction sends the packet or message of an action. It is called with the
// lock held.
func (b *Balancer) executeAction(action *steering.Action) {
	b.recordAction(action)
	switch action.Kind {
	case steering.Forward:
		b.Codec.SetForwardingHeader(action.Data, action.Header)
		_, err := b.packetConn.WriteToUDPAddrPort(action.Data, netip.AddrPortFrom(action.To, b.cfg.PacketAddress.Port()+b.cfg.RelayOffset))
		b.countSendError(err)
	case steering.Reset:
		var resetBuffer [64]byte
		reset := b.Codec.AppendReset(resetBuffer[:0], action.Flow, action.Sequence)
		_, err := b.packetConn.WriteToUDPAddrPort(reset, netip.AddrPortFrom(action.Flow.Caller.Addr(), b.cfg.PacketAddress.Port()))
		b.countSendError(err)
	case steering.SendMessage:
		b.countSendError(b.transport.send(action.To, b.cfg.NodePort, kindSteering, &action.Message))
	case steering.Drop, steering.OpeningQueued, steering.Deliver, steering.Reply, steering.ProbeUpstream:
	}
}

// recordAction counts an action. It writes a decision log entry if the action is
// a new decision about a flow. Packets of known flows are only counted.
func (b *Balancer) recordAction(action *steering.Action) {
	b.actionCounters.increment(action)
	if action.Waited > 0 {
		b.recordDuration("searches.us", action.Waited)
	}
	entry := decisionlog.Entry{
		At: time.Now(), Event: actionEventNames[action.Kind], Reason: string(action.Reason), Flow: action.Flow, Peer: action.To, Version: b.appliedVersion,
	}
	switch {
	case action.Kind == steering.Forward && action.Reason == steering.Placed:
		addPlacement(&entry, &action.Placement)
		b.Decisions.LogRateLimited(entry)
	case action.Kind == steering.Forward && action.Reason == steering.PlacedOnRetry:
		addPlacement(&entry, &action.Placement)
		b.Decisions.LogAlways(entry)
	case action.Kind == steering.Forward && (action.Reason == steering.KnownFlow || action.Reason == steering.Repeated):
	case action.Kind == steering.SendMessage:
	default:
		b.Decisions.LogAlways(entry)
	}
}

// addPlacement adds the inputs of the selection of an upstream to an entry.
func addPlacement(entry *decisionlog.Entry, placement *steering.PlacementInfo) {
	entry.Load, entry.Slots, entry.AgeMillis, entry.Attempt = placement.Load, placement.Slots, placement.Age.Milliseconds(), placement.Attempt
	entry.AnswerMillis, entry.AnswerAgeMillis = placement.Answer.Milliseconds(), placement.AnswerAge.Milliseconds()
	entry.HealthPermille = int(placement.Health * 1000)
}

// handleAgentMessage processes a message of an agent about an opening or a flow.
func (b *Balancer) handleAgentMessage(from netip.Addr, m *steering.Message) {
	b.lockAndRunDecision(func(now time.Time, out *[]steering.Action) {
		if m.Kind == steering.OpeningRejected || m.Kind == steering.FlowNotFound {
			entry := decisionlog.Entry{At: now, Event: m.Kind.String(), Reason: m.Verdict.String(), Flow: m.Flow, Peer: from, Load: int(m.Load)}
			if m.Verdict == steering.WarmingUp {
				b.Decisions.LogRateLimited(entry)
			} else {
				b.Decisions.LogAlways(entry)
			}
		}
		if age, opening := b.core.OpeningAge(now, m.Flow); opening && m.Kind == steering.OpeningAccepted {
			b.recordDuration("openings.us", age)
		}
		b.core.HandleMessage(now, from, m, out)
	})
}

func (b *Balancer) handleSyncResponse(from netip.Addr, response *directory.SyncResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	result := b.mergeSyncResponse(now, from, response)
	if result.FirstResponse {
		b.firstResponseAt = now
	}
	if result.Changed || result.BecameComplete {
		b.core.SetUpstreams(steeringUpstreams(b.directoryClient.Upstreams()), b.directoryClient.Complete())
		b.runDecision(now, func(out *[]steering.Action) { b.core.RetryPending(now, result.BecameComplete, out) })
	}
	b.resetTimer(now)
}

// steeringUpstreams converts the directory entries of agents into upstreams of
// services. It skips entries without a service.
func steeringUpstreams(entries []*directory.Entry) []steering.Upstream {
	list := make([]steering.Upstream, 0, len(entries))
	for _, e := range entries {
		if e.Service == "" {
			continue
		}
		list = append(list, steering.Upstream{Service: e.Service, Upstream: view.Upstream{
			VM: e.VM, Hash: ranking.MemberHash(e.VM), Zone: e.Zone, Address: netip.AddrPortFrom(e.Address, e.PacketPort),
			Incarnation: e.Incarnation, Status: e.Status, Slots: e.Slots,
			WarmUpUntil: e.ChangedAt.Add(time.Duration(e.WarmUpMillis) * time.Millisecond),
		}})
	}
	return list
}

func (b *Balancer) handleDesiredState(from netip.Addr, payload []byte) {
	desired, err := decodeDesired(payload)
	if err != nil {
		b.countRejected(err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.SetDesired(desired) {
		now := time.Now()
		b.runDecision(now, func(out *[]steering.Action) { b.core.RetryPending(now, false, out) })
		b.setAppliedVersion(desired.Version)
		b.Log.WithFields(logrus.Fields{"version": desired.Version, "routes": len(desired.Routes), "control": from}).Info("desired state applied")
	}
}
