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
	// defaultMaxFlowAge applies if the platform sets no limit. An agent that keeps a flow for
	// too long wastes some memory; one that forgets it too early lets it be reset.
	defaultMaxFlowAge = 5 * time.Minute
	// firstCheckInWait is how long an agent waits for a check-in before it probes the
	// upstream. Agent and upstream start at the same time when a VM boots.
	firstCheckInWait = 100 * time.Millisecond
	// upstreamProbeTimeout bounds the TCP connection attempt to the upstream, which
	// runs on the same VM.
	upstreamProbeTimeout = 300 * time.Millisecond
)

// Agent runs on the VM of an upstream. It delivers the packets that balancers
// forward to it, and sends the packets of the upstream to the callers.
type Agent struct {
	packetProcessor
	core         *steering.Agent
	packetConn   *net.UDPConn
	outboundConn *net.UDPConn
	// actionCounters counts actions by kind and reason.
	actionCounters actionCounters
	admissions     admissionReport
	stopping       bool
	// rejections counts rejected openings by verdict.
	rejections rejectionCounters
	// awaitsTerms is set while openings are rejected until control has sent terms.
	awaitsTerms bool
	// reportedWarmUp is the state of the warm-up in the last log line about it.
	reportedWarmUp steering.WarmUpStatus
	// loggedLimit is the learned limit in the last log line about it, written at
	// limitLoggedAt.
	loggedLimit   int
	limitLoggedAt time.Time
}

// NewAgent opens the sockets of an agent. Run processes packets.
func NewAgent(cfg Config, deps Dependencies) (*Agent, error) {
	shared, err := newNode(cfg, deps, vm.RoleUpstream, cfg.NodePort, false)
	if err != nil {
		return nil, err
	}
	packetConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PacketAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open packet socket: %w", err), shared.close())
	}
	outboundConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.OutboundAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open outbound socket: %w", err), packetConn.Close(), shared.close())
	}
	a := &Agent{
		packetProcessor: packetProcessor{node: shared}, packetConn: packetConn, outboundConn: outboundConn, actionCounters: newActionCounters(deps.Registry), rejections: rejectionCounters{registry: deps.Registry},
		core: steering.NewAgent(newAgentConfig(&cfg, time.Now())),
	}
	shared.onTimer = func(now time.Time) {
		a.runDecision(now, func(out *[]steering.Action) { a.core.Tick(now, out) })
		requests, flows := a.core.Load()
		a.setGauge("flows", flows)
		a.setGauge("requests", requests)
		a.updateAwaitsTerms(now, false)
		a.reportWarmUp(now)
		a.publishCapacity(now)
		a.reportAdmissions(now)
	}
	shared.nextDeadline = a.core.Deadline
	a.execute = a.executeAction
	registerHandler(shared.transport, kindSteering, shared.countRejected, a.handleBalancerMessage)
	registerHandler(shared.transport, kindSyncResponse, shared.countRejected, a.handleSyncResponse)
	registerHandler(shared.transport, kindTerms, shared.countRejected, a.handleTerms)
	a.updateAwaitsTerms(time.Now(), false)
	return a, nil
}

// newAgentConfig returns the settings of the decisions of an agent. Agents do not get the
// desired state, so that they keep an idle flow for as long as any idle timeout may ask:
// the largest age of a flow.
func newAgentConfig(cfg *Config, startedAt time.Time) steering.AgentConfig {
	maxFlowAge := cfg.MaxFlowAge
	if maxFlowAge <= 0 {
		maxFlowAge = defaultMaxFlowAge
	}
	return steering.AgentConfig{
		Service: cfg.Service, CheckInInterval: cfg.CheckInInterval, IdleTimeout: maxFlowAge, MaxFlows: cfg.maxFlows(), StartedAt: startedAt,
		Zone: cfg.Zone, ZoneOrderBound: cfg.ZoneOrderBound,
		WarmUpOvershoot: cfg.WarmUpOvershoot, WarmUpSlack: cfg.WarmUpSlack, TermsAlwaysSent: cfg.ZoneOrderBound > 0,
		LearnsCapacity: cfg.LearnsCapacity,
		AdmitsByClass:  cfg.AdmitsByClass,
	}
}

// Run processes packets until the context ends. Flows outlive the process: the
// next agent process adds them to its table when it receives their packets.
func (a *Agent) Run(ctx context.Context) error {
	group := errgroup.Group{}
	group.Go(a.transport.receiveMessages)
	group.Go(func() error { return a.receivePackets(a.packetConn, false, a.handleBalancerPacket) })
	group.Go(func() error { return a.receivePackets(a.outboundConn, true, a.handleUpstreamPacket) })
	a.updateOwnRecord(func(*directory.Record) {})
	startProbe := time.AfterFunc(firstCheckInWait, a.probeUpstreamAtStart)
	defer startProbe.Stop()
	<-ctx.Done()
	upstreamExited := !a.Ready() && a.probeUpstream(a.upstreamIncarnation())
	a.updateOwnRecord(func(r *directory.Record) {
		a.stopping = true
		switch {
		case upstreamExited:
			r.Status = view.Left
		case r.Status == view.Ready:
			r.Status = view.Starting
		}
	})
	err := errors.Join(a.packetConn.Close(), a.outboundConn.Close(), a.close())
	return errors.Join(err, group.Wait())
}

// updateOwnRecord changes the agent's own directory record and sends it to all
// control processes.
func (a *Agent) updateOwnRecord(update func(*directory.Record)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.sendSyncRequests(a.directoryClient.PublishRecord(now, update))
	a.resetTimer(now)
}

// HandleCheckIn processes a check-in of the upstream. It reports whether the
// check-in was accepted. A check-in that was not accepted must not be
// acknowledged.
func (a *Agent) HandleCheckIn(checkIn steering.CheckIn) (accepted bool) {
	now := time.Now()
	a.decideAndPublish(now, func(out *[]steering.Action) (changed bool) {
		changed, accepted = a.core.HandleCheckIn(now, checkIn, out)
		return changed
	})
	return accepted
}

// decideAndPublish runs a decision. If that changed the state of the upstream, it
// publishes the new state in the directory, unless the agent is stopping.
func (a *Agent) decideAndPublish(now time.Time, decision func(out *[]steering.Action) (changed bool)) {
	changed := false
	a.mu.Lock()
	a.runDecision(now, func(out *[]steering.Action) { changed = decision(out) })
	current, _ := a.core.Upstream()
	stopping := a.stopping
	a.reportWarmUp(now)
	a.mu.Unlock()
	if !changed || stopping {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"upstream": current.VM, "incarnation": current.Incarnation, "sequence": current.Sequence,
		"status": current.Status, "slots": current.Slots,
	}).Info("upstream state changed")
	a.updateOwnRecord(func(r *directory.Record) {
		r.Upstream, r.Incarnation, r.Slots = current.VM, current.Incarnation, current.Slots
		r.Status, r.WarmUpMillis = current.Status, int(current.WarmUp.Milliseconds())
	})
}

// RemoveUpstream marks the upstream with the given ID as left. Another ID than
// that of the current upstream has no effect.
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

// upstreamPortClosed connects to the upstream over TCP. It reports true only if
// the connection was refused, which shows that the process has exited. After a
// time-out the process may still run, but be slow or unreachable.
func (a *Agent) upstreamPortClosed() bool {
	conn, err := net.DialTimeout("tcp", a.cfg.UpstreamAddress.String(), upstreamProbeTimeout)
	if err == nil {
		a.countSendError(conn.Close())
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		a.Log.WithError(err).Info("upstream probe failed; status of the upstream unchanged")
		return false
	}
	return true
}

// probeUpstream checks whether the process of an upstream that does not respond
// to openings has exited. If so, it records the end of that incarnation of the
// upstream and publishes it in the directory.
func (a *Agent) probeUpstream(incarnation vm.Incarnation) (exited bool) {
	if !a.upstreamPortClosed() {
		return false
	}
	now := time.Now()
	a.decideAndPublish(now, func(out *[]steering.Action) bool { return a.core.UpstreamExited(now, incarnation, out) })
	return true
}

// probeUpstreamAtStart probes the upstream if no check-in has arrived. If the
// connection is refused, it publishes in the directory that no upstream runs.
func (a *Agent) probeUpstreamAtStart() {
	a.mu.Lock()
	_, known := a.core.Upstream()
	a.mu.Unlock()
	if known || !a.upstreamPortClosed() {
		return
	}
	a.mu.Lock()
	confirmed := !a.stopping && a.core.ConfirmNoUpstream()
	a.mu.Unlock()
	if confirmed {
		a.Log.Info("no upstream process runs on this VM yet")
		a.updateOwnRecord(func(r *directory.Record) { r.Status = view.Left })
	}
}

// upstreamIncarnation returns zero if the upstream is unknown.
func (a *Agent) upstreamIncarnation() vm.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, _ := a.core.Upstream()
	return current.Incarnation
}

// Ready reports whether the upstream accepts openings.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, known := a.core.Upstream()
	return known && current.Status == view.Ready && !a.stopping
}

// handleBalancerPacket processes a packet with the forwarding header of a
// balancer. A packet without one is counted and dropped.
func (a *Agent) handleBalancerPacket(now time.Time, packet *steering.Packet, data []byte, from netip.Addr, out *[]steering.Action) {
	header, ok := a.Codec.ExtractForwardingHeader(data)
	if !ok {
		a.incrementCounter("packets.unmarked")
		return
	}
	a.core.HandleBalancerPacket(now, packet, header, from, data, out)
}

func (a *Agent) handleUpstreamPacket(now time.Time, packet *steering.Packet, data []byte, _ netip.Addr, out *[]steering.Action) {
	a.core.HandleUpstreamPacket(now, packet, data, out)
}

// recordAction counts an action. It writes a decision log entry if the action is
// a new decision about a flow, or if a request starts in its packet.
func (a *Agent) recordAction(action *steering.Action) {
	a.actionCounters.increment(action)
	entry := decisionlog.Entry{
		At: time.Now(), Event: actionEventNames[action.Kind], Reason: string(action.Reason), Flow: action.Flow, Peer: action.To,
	}
	switch action.Kind {
	case steering.Deliver:
		if entry.RequestID = a.Codec.RequestID(action.Data); entry.RequestID != "" {
			entry.Event = "request"
			a.Decisions.LogRateLimited(entry)
		} else if action.Reason == steering.CandidateTried {
			a.Decisions.LogAlways(entry)
		}
	case steering.SendMessage:
		entry.Event, entry.Load = action.Message.Kind.String(), int(action.Message.Load)
		if verdict := action.Message.Verdict.String(); verdict != "" {
			entry.Reason = verdict
		}
		switch kind := action.Message.Kind; {
		case kind == steering.LookupResponse:
			// recordLookupVerdicts writes an entry for each flow.
		case kind == steering.OpeningRejected && action.Message.Verdict == steering.WarmingUp:
			a.rejections.increment(action.Message.Verdict)
			a.Decisions.LogRateLimited(entry)
		case kind == steering.OpeningAccepted, kind == steering.CapacityReport:
			a.Decisions.LogRateLimited(entry)
		case kind == steering.OpeningRejected:
			a.rejections.increment(action.Message.Verdict)
			a.Decisions.LogAlways(entry)
		default:
			a.Decisions.LogAlways(entry)
		}
	case steering.Reply:
	default:
		a.Decisions.LogAlways(entry)
	}
}

// executeAction sends the packet or message of an action. It is called with the
// lock held.
func (a *Agent) executeAction(action *steering.Action) {
	a.recordAction(action)
	switch action.Kind {
	case steering.Deliver:
		_, err := a.outboundConn.WriteToUDPAddrPort(action.Data, a.cfg.UpstreamAddress)
		a.countSendError(err)
	case steering.Reply:
		a.sendToCaller(action, action.Data)
	case steering.Reset:
		var resetBuffer [64]byte
		a.sendToCaller(action, a.Codec.AppendReset(resetBuffer[:0], action.Flow, action.Sequence))
	case steering.SendMessage:
		a.countSendError(a.transport.send(action.To, a.cfg.NodePort, kindSteering, &action.Message))
	case steering.ProbeUpstream:
		go a.probeUpstream(action.Incarnation)
	case steering.Drop, steering.OpeningQueued, steering.Forward:
	}
}

func (a *Agent) sendToCaller(action *steering.Action, data []byte) {
	to := netip.AddrPortFrom(action.Flow.Caller.Addr(), a.cfg.PacketAddress.Port())
	_, err := a.packetConn.WriteToUDPAddrPort(data, to)
	a.countSendError(err)
}

// handleBalancerMessage processes a message of a balancer, such as a lookup
// request for the holders of flows.
func (a *Agent) handleBalancerMessage(from netip.Addr, request *steering.Message) {
	a.lockAndRunDecision(func(now time.Time, out *[]steering.Action) {
		a.core.HandleMessage(now, from, request, out)
		for _, action := range *out {
			a.recordLookupVerdicts(now, from, request, action.Message.Verdicts)
		}
	})
}

// recordLookupVerdicts writes an entry for each flow that the upstream holds or
// may hold. Flows that it does not hold are only counted, because each holder
// lookup sends a request to all agents.
func (a *Agent) recordLookupVerdicts(now time.Time, from netip.Addr, request *steering.Message, verdicts []steering.Verdict) {
	for i, verdict := range verdicts {
		a.incrementCounter("searches." + verdict.String())
		if verdict != steering.FlowNotHeld {
			a.Decisions.LogAlways(decisionlog.Entry{At: now, Event: steering.LookupResponse.String(), Reason: verdict.String(), Flow: request.Lookups[i].Flow, Peer: from})
		}
	}
}

func (a *Agent) handleSyncResponse(from netip.Addr, response *directory.SyncResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	// An agent does not use the desired state, because balancers select the service.
	// Version 0 keeps it from being fetched.
	response.Version = 0
	a.mergeSyncResponse(now, from, response)
	a.resetTimer(now)
}
