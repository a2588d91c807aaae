package fabric

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/decisionlog"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// agentIdleTimeout is after which time without packets an agent forgets a
	// flow; the usual idle timeout of a desired state, with a reserve.
	agentIdleTimeout = 20 * time.Second
	// maxAgentFlows bounds the remembered flows; upstreams hold some thousands.
	maxAgentFlows = 20_000
	// firstCheckIn is how long an agent waits for a check-in before it looks for the
	// upstream itself. Both start together when a VM does.
	firstCheckIn = 100 * time.Millisecond
	// probeTimeout bounds the search for the process of the upstream; it runs on
	// the same VM.
	probeTimeout = 300 * time.Millisecond
)

// Agent runs beside an upstream.
type Agent struct {
	packetRunner
	core     *steering.Agent
	packets  *net.UDPConn
	outbound *net.UDPConn
	// outcomes counts actions by kind and reason.
	outcomes outcomes
	stopping bool
}

// NewAgent opens the sockets. Run must be called to serve.
func NewAgent(cfg Config, env Dependencies) (*Agent, error) {
	n, err := newNode(cfg, env, vm.RoleUpstream, cfg.NodePort, false)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PacketAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open packet socket: %w", err), n.close())
	}
	outbound, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.OutboundAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open outbound socket: %w", err), packets.Close(), n.close())
	}
	a := &Agent{
		packetRunner: packetRunner{node: n}, packets: packets, outbound: outbound, outcomes: newOutcomes(env.Registry),
		core: steering.NewAgent(steering.AgentConfig{
			Service: cfg.Service, CheckInInterval: cfg.CheckInInterval, IdleTimeout: agentIdleTimeout, MaxFlows: maxAgentFlows, Started: time.Now(),
		}),
	}
	n.due = func(now time.Time) {
		a.decide(now, func(out *[]steering.Action) { a.core.Tick(now, out) })
		busy, flows := a.core.Load()
		a.gauge("flows", flows)
		a.gauge("requests", busy)
	}
	n.deadline = a.core.Deadline
	a.execute = a.carryOut
	handle(n.link, kindSteering, n.rejected, a.balancerAsked)
	handle(n.link, kindAnswer, n.rejected, a.answer)
	return a, nil
}

// Run serves until the context ends. The flows stay with the upstream, and the
// next process takes them up from their packets.
func (a *Agent) Run(ctx context.Context) error {
	group := errgroup.Group{}
	group.Go(a.link.receive)
	group.Go(func() error { return a.receivePackets(a.packets, false, a.callerPacket) })
	group.Go(func() error { return a.receivePackets(a.outbound, true, a.upstreamPacket) })
	a.tell(func(*directory.Record) {})
	startProbe := time.AfterFunc(firstCheckIn, a.probeAtStart)
	defer startProbe.Stop()
	<-ctx.Done()
	gone := !a.Ready() && a.probe(a.incarnation())
	a.tell(func(r *directory.Record) {
		a.stopping = true
		switch {
		case gone:
			r.Status = view.Left
		case r.Status == view.Ready:
			r.Status = view.Starting
		}
	})
	err := errors.Join(a.packets.Close(), a.outbound.Close(), a.close())
	return errors.Join(err, group.Wait())
}

// tell announces a change of the own record to all control processes.
func (a *Agent) tell(update func(*directory.Record)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.ask(a.client.Announce(now, update))
	a.plan(now)
}

// HandleCheckIn takes a check-in of the upstream. It reports whether the check-in counts;
// others must not be acknowledged.
func (a *Agent) HandleCheckIn(n steering.CheckIn) (taken bool) {
	now := time.Now()
	a.publish(now, func(out *[]steering.Action) (changed bool) {
		changed, taken = a.core.HandleCheckIn(now, n, out)
		return changed
	})
	return taken
}

// publish announces what a decision has changed about the upstream.
func (a *Agent) publish(now time.Time, decision func(out *[]steering.Action) (changed bool)) {
	changed := false
	a.mu.Lock()
	a.decide(now, func(out *[]steering.Action) { changed = decision(out) })
	current, _ := a.core.Upstream()
	stopping := a.stopping
	a.mu.Unlock()
	if !changed || stopping {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"upstream": current.VM, "incarnation": current.Incarnation, "sequence": current.Sequence,
		"status": current.Status, "slots": current.Slots,
	}).Info("upstream changed")
	a.tell(func(r *directory.Record) {
		r.Upstream, r.Incarnation, r.Slots = current.VM, current.Incarnation, current.Slots
		r.Status, r.WarmUpMillis = current.Status, int(current.WarmUp.Milliseconds())
	})
}

// RemoveUpstream notes that the upstream has ended.
func (a *Agent) RemoveUpstream(id string) {
	a.mu.Lock()
	current, known := a.core.Upstream()
	a.mu.Unlock()
	if !known || current.VM != vm.ID(id) {
		return
	}
	current.Sequence++
	current.Status = view.Left
	a.HandleCheckIn(current)
}

// upstreamGone looks for the process of the upstream. Only a refused connection shows
// that it is gone; without any answer it may be slow or cut off.
func (a *Agent) upstreamGone() bool {
	conn, err := net.DialTimeout("tcp", a.cfg.UpstreamAddress.String(), probeTimeout)
	if err == nil {
		a.lost(conn.Close())
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		a.Log.WithError(err).Info("upstream does not answer a probe")
		return false
	}
	return true
}

// probe looks for the process of an upstream that does not answer openings.
func (a *Agent) probe(incarnation vm.Incarnation) (gone bool) {
	if !a.upstreamGone() {
		return false
	}
	now := time.Now()
	a.publish(now, func(out *[]steering.Action) bool { return a.core.UpstreamExited(now, incarnation, out) })
	return true
}

// probeAtStart tells that there is no upstream, if there is none.
func (a *Agent) probeAtStart() {
	a.mu.Lock()
	_, known := a.core.Upstream()
	a.mu.Unlock()
	if known || !a.upstreamGone() {
		return
	}
	a.mu.Lock()
	news := !a.stopping && a.core.ConfirmNoUpstream()
	a.mu.Unlock()
	if news {
		a.Log.Info("no upstream runs here yet")
		a.tell(func(r *directory.Record) { r.Status = view.Left })
	}
}

// incarnation returns that of the upstream; zero if it is unknown.
func (a *Agent) incarnation() vm.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, _ := a.core.Upstream()
	return current.Incarnation
}

// Ready reports whether the upstream takes work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, known := a.core.Upstream()
	return known && current.Status == view.Ready && !a.stopping
}

// callerPacket decides about a packet that a balancer has marked. Others are not
// for this agent.
func (a *Agent) callerPacket(now time.Time, p *steering.Packet, data []byte, from netip.Addr, out *[]steering.Action) {
	mark, ok := a.Codec.ExtractForwardingHeader(data)
	if !ok {
		a.count("packets.unmarked")
		return
	}
	a.core.HandleBalancerPacket(now, p, mark, from, data, out)
}

func (a *Agent) upstreamPacket(now time.Time, p *steering.Packet, data []byte, _ netip.Addr, out *[]steering.Action) {
	a.core.HandleUpstreamPacket(now, p, data, out)
}

// observe counts an action and writes a line about it if it decides something
// new, or if a request starts.
func (a *Agent) observe(action *steering.Action) {
	a.outcomes.count(action)
	line := decisionlog.Entry{
		At: time.Now(), Event: eventNames[action.Kind], Reason: string(action.Reason), Flow: action.Flow, Peer: action.To,
	}
	switch action.Kind {
	case steering.Deliver:
		if line.RequestID = a.Codec.RequestID(action.Data); line.RequestID != "" {
			line.Event = "request"
			a.Decisions.LogRateLimited(line)
		} else if action.Reason == steering.CandidateTried {
			a.Decisions.LogAlways(line)
		}
	case steering.SendMessage:
		line.Event, line.Load = action.Message.Kind.String(), int(action.Message.Load)
		if v := action.Message.Verdict.String(); v != "" {
			line.Reason = v
		}
		switch action.Message.Kind {
		case steering.LookupResponse:
			// balancerAsked writes a line for each flow.
		case steering.OpeningAccepted:
			a.Decisions.LogRateLimited(line)
		default:
			a.Decisions.LogAlways(line)
		}
	case steering.Reply:
	default:
		a.Decisions.LogAlways(line)
	}
}

// carryOut does what a decision asks for. The lock is held.
func (a *Agent) carryOut(action *steering.Action) {
	a.observe(action)
	switch action.Kind {
	case steering.Deliver:
		_, err := a.outbound.WriteToUDPAddrPort(action.Data, a.cfg.UpstreamAddress)
		a.lost(err)
	case steering.Reply:
		a.toCaller(action, action.Data)
	case steering.Reset:
		var buffer [64]byte
		a.toCaller(action, a.Codec.AppendReset(buffer[:0], action.Flow, action.Sequence))
	case steering.SendMessage:
		a.lost(a.link.send(action.To, a.cfg.NodePort, kindSteering, &action.Message))
	case steering.ProbeUpstream:
		go a.probe(action.Incarnation)
	case steering.Drop, steering.QueueOpening, steering.Forward:
	}
}

func (a *Agent) toCaller(action *steering.Action, data []byte) {
	to := netip.AddrPortFrom(action.Flow.Caller.Addr(), a.cfg.PacketAddress.Port())
	_, err := a.packets.WriteToUDPAddrPort(data, to)
	a.lost(err)
}

// balancerAsked takes a question of a balancer.
func (a *Agent) balancerAsked(from netip.Addr, m *steering.Message) {
	a.message(func(now time.Time, out *[]steering.Action) {
		a.core.Message(now, from, m, out)
		for _, action := range *out {
			a.observeAnswers(now, from, m, action.Message.Verdicts)
		}
	})
}

// observeAnswers writes a line for each flow that the upstream holds or may hold.
// Those that it does not hold are counted only: each search asks all agents.
func (a *Agent) observeAnswers(now time.Time, from netip.Addr, m *steering.Message, verdicts []steering.Verdict) {
	for i, v := range verdicts {
		a.count("searches." + v.String())
		if v != steering.FlowNotHeld {
			a.Decisions.LogAlways(decisionlog.Entry{At: now, Event: steering.LookupResponse.String(), Reason: v.String(), Flow: m.Lookups[i].Flow, Peer: from})
		}
	}
}

func (a *Agent) answer(from netip.Addr, answer *directory.SyncResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	// An agent needs no desired state: balancers choose the service.
	answer.Version = 0
	a.answered(now, from, answer)
	a.plan(now)
}
