package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// answerTimeout is how long an upstream may take to answer an opening. It
	// answers without waiting for a slot; half of the caller's first
	// retransmission interval of 200 ms leaves time to place it elsewhere.
	answerTimeout = 100 * time.Millisecond
	// silencePause is how long openings are returned at once after one got no
	// answer: the interval of an upstream's announcements is about as long.
	silencePause = time.Second
	// requestWait is how long a new flow counts as busy before its first
	// request arrives. Callers send it within a round trip or two.
	requestWait = 500 * time.Millisecond
	// doubtLifetime is how long the origin of a packet of an unknown flow is
	// remembered. The upstream returns such a packet at once.
	doubtLifetime = time.Second
	// denialLifetime is how long an agent remembers that its upstream has
	// returned a packet of a flow: over the retransmissions of the caller.
	denialLifetime = 5 * time.Second
	// maxDenials bounds what is remembered of them.
	maxDenials = 5_000
	// workTimeout is after which time without packets a request no longer
	// counts as in progress: its caller has given up, or its answer was lost.
	// Upstreams work for less than half a second.
	workTimeout = time.Second
	// workCheck is how often such requests are looked for while all slots seem
	// to be in use.
	workCheck = 100 * time.Millisecond
	// closedLifetime keeps a flow after both ends have finished, for late
	// retransmissions (at most 1.6 s apart).
	closedLifetime = 5 * time.Second
	// sweepInterval is how often expired flows are looked for.
	sweepInterval = time.Second
	// bornBefore is how long before its agent an upstream may have started and
	// still have met no caller: processes of a VM that comes up start together, and
	// an upstream gets its first opening after its check-in and the announcement of
	// it, some round trips later.
	bornBefore = 100 * time.Millisecond
	// successorIntervals is for how many intervals of announcements the current
	// process must be silent while another one announces itself.
	successorIntervals = 2
	// defaultCheckInInterval is the platform's usual value.
	defaultCheckInInterval = 1200 * time.Millisecond
	// firstAnnouncements is the highest sequence of an upstream that has just
	// started: its first calls may get no answer while the agent starts.
	firstAnnouncements = 3
	// ackWindow bounds how far a caller's acknowledgement may be ahead of the
	// upstream's first sequence number while a flow opens: 16 packets of 1,200
	// bytes, with room for a larger window.
	ackWindow = 1 << 16
)

// AgentConfig is what an agent knows from its settings.
type AgentConfig struct {
	Service service.Name
	// CheckInInterval is how often the upstream announces itself.
	CheckInInterval time.Duration
	// IdleTimeout is after which time without packets a flow is forgotten.
	IdleTimeout time.Duration
	// MaxFlows bounds the remembered flows.
	MaxFlows int
	// Started is when this process began to see the packets of its upstream.
	Started time.Time
}

// CheckIn is what an upstream tells about itself.
type CheckIn struct {
	VM          vm.ID
	Service     service.Name
	Incarnation vm.Incarnation
	// StartedAt is when the incarnation started, by the clock of its VM.
	StartedAt time.Time
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	Status   view.Status
	Slots    int
	// WarmUp is how much longer the upstream is slow after its start.
	WarmUp time.Duration
}

// Agent decides for the process beside one upstream.
type Agent struct {
	cfg      AgentConfig
	tag      uint16
	upstream CheckIn
	// known is set by the first announcement of this life of the agent.
	known bool
	// absent: there was no upstream when this agent looked for it.
	absent    bool
	successor successor
	// sawStart is set when this agent has seen all packets of the upstream's
	// incarnation.
	sawStart    bool
	silentUntil time.Time
	// probedAt is when the upstream was last looked for.
	probedAt time.Time
	flows    map[flow.Key]*held
	doubts   map[flow.Key]doubt
	// denials holds when the upstream returned a packet of a flow.
	denials     map[flow.Key]time.Time
	workCheckAt time.Time
	// unanswered holds the openings without an answer in the order of their
	// delivery.
	unanswered []unanswered
	// stages counts the flows in each stage.
	stages  [stageCount]int
	service serviceTime
	sweepAt time.Time
}

// stage says whether a flow carries a request.
type stage uint8

const (
	// quiet: no request is in progress.
	quiet stage = iota
	// expected: the flow is new and its first request has not arrived.
	expected
	// running: the upstream works on a request, or it waits there.
	running
	stageCount
)

// held is a flow of the upstream.
type held struct {
	incarnation vm.Incarnation
	origin      netip.Addr
	// opening and answer are the first sequence numbers of both sides.
	opening, answer uint32
	answered        bool
	open            bool
	stage           stage
	callerFinished  bool
	// ack is the last acknowledgement number of the caller.
	ack uint32
	// gone: the process that held the flow has ended.
	gone bool
	// requestAt is when the last request began; measured is set if a slot was
	// free then.
	requestAt time.Time
	measured  bool
	// lost: the upstream has returned a packet of the flow.
	lost     bool
	finished bool
	openedAt time.Time
	seenAt   time.Time
}

type doubt struct {
	origin netip.Addr
	until  time.Time
}

type unanswered struct {
	key     flow.Key
	opening uint32
	at      time.Time
}

// NewAgent returns an agent that has not heard from its upstream.
func NewAgent(cfg AgentConfig) *Agent {
	if cfg.CheckInInterval == 0 {
		cfg.CheckInInterval = defaultCheckInInterval
	}
	return &Agent{cfg: cfg, tag: ServiceTag(cfg.Service), flows: map[flow.Key]*held{}, doubts: map[flow.Key]doubt{}, denials: map[flow.Key]time.Time{}}
}

// Upstream returns the last announcement and whether there was one.
func (a *Agent) Upstream() (CheckIn, bool) { return a.upstream, a.known }

// Load returns the requests in progress and the flows.
func (a *Agent) Load() (busy, flows int) { return a.busy(), len(a.flows) }

// HandleCheckIn takes an announcement of the upstream. It reports whether it changed
// what others have to know. Announcements of an earlier incarnation, or older
// ones of the current incarnation, are ignored. Flows of an earlier incarnation
// are reset: their callers need not find out by themselves. taken is false for an
// announcement of a process that may have ended: it must not be acknowledged, since
// what it says is not heeded.
func (a *Agent) HandleCheckIn(now time.Time, n CheckIn, out *[]Action) (changed, taken bool) {
	before := a.upstream
	if a.known {
		if n.Incarnation < before.Incarnation && !a.succeeds(now, &n) {
			return false, false
		}
		if n.Incarnation == before.Incarnation && n.Sequence <= before.Sequence {
			return false, true
		}
		if n.Incarnation == before.Incarnation && before.Status != view.Ready && before.Status != view.Failed && n.Status == view.Ready {
			// An upstream that is leaving does not come back.
			n.Status = before.Status
		}
	}
	a.successor = successor{}
	changed = !a.known || n.Incarnation != before.Incarnation || n.Status != before.Status || n.Slots != before.Slots || n.VM != before.VM
	if n.Incarnation != before.Incarnation {
		a.silentUntil = time.Time{}
		a.sawStart = a.known || a.absent || a.startedTogether(now, &n)
		if a.known {
			a.endFlows(now, n.Incarnation, out)
		}
	}
	if !a.known {
		for _, f := range a.flows {
			f.incarnation = n.Incarnation
		}
	}
	a.upstream, a.known = n, true
	return changed, true
}

// successor is a process that announces itself with an earlier start than the
// current one.
type successor struct {
	incarnation vm.Incarnation
	sequence    uint64
	since       time.Time
}

// succeeds reports whether an announcement with an earlier start comes from a later
// process, whose start was told by a clock that had been set back since. It does if
// the current process has ended, or if it is silent while the other one goes on for
// longer than an announcement of the current one can be due. A late announcement of a
// process that has ended comes without others.
func (a *Agent) succeeds(now time.Time, n *CheckIn) bool {
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return true
	}
	if s := &a.successor; s.incarnation != n.Incarnation {
		*s = successor{incarnation: n.Incarnation, sequence: n.Sequence, since: now}
		return false
	}
	if n.Sequence <= a.successor.sequence {
		return false
	}
	a.successor.sequence = n.Sequence
	return now.Sub(a.successor.since) >= successorIntervals*a.cfg.CheckInInterval
}

// startedTogether reports whether the upstream started when this agent did, so
// that no packet passed before. The clock of the VM may have been set back since
// the upstream started; its sequence then shows its age.
func (a *Agent) startedTogether(now time.Time, n *CheckIn) bool {
	heard := a.cfg.Started.Add(now.Sub(a.cfg.Started))
	return n.Sequence <= firstAnnouncements && !n.StartedAt.Before(a.cfg.Started.Add(-bornBefore)) && !n.StartedAt.After(heard)
}

// HandleBalancerPacket decides about a packet of a caller.
func (a *Agent) HandleBalancerPacket(now time.Time, p *Packet, mark ForwardingHeader, origin netip.Addr, data []byte, out *[]Action) {
	if mark.Service != a.tag {
		a.reject(p, origin, OtherService, out)
		return
	}
	f := a.flows[p.Flow]
	if f != nil && f.gone && !p.IsOpening() {
		if !f.near(p.Ack) {
			a.tell(origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, NotHeld, out)
			return
		}
		a.resetGone(p, f, out)
		return
	}
	if p.IsOpening() {
		a.opening(now, p, f, mark, origin, data, out)
		return
	}
	if f == nil {
		a.unknown(now, p, origin, data, out)
		return
	}
	if !f.open {
		if !p.Flags.Has(ACK) || !f.answered || p.Ack-f.answer > ackWindow {
			// The caller has taken the answer of another upstream.
			a.tell(origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, NotHeld, out)
			return
		}
		f.open = true
	}
	f.origin, f.seenAt = origin, now
	a.track(now, f, p)
	*out = append(*out, Action{Kind: Deliver, Reason: KnownFlow, Flow: p.Flow, Data: data})
}

// track notes what a packet of the caller does to the flow.
func (a *Agent) track(now time.Time, f *held, p *Packet) {
	f.ack = p.Ack
	switch {
	case p.Flags.Has(RST):
		a.setStage(f, quiet)
		f.finished = true
	case p.Payload > 0 && f.stage != running:
		f.requestAt, f.measured = now, a.stages[running] < a.upstream.Slots
		a.setStage(f, running)
	}
	if p.Flags.Has(FIN) {
		f.callerFinished = true
	}
}

// setStage moves a flow between the counts of expected and running requests.
func (a *Agent) setStage(f *held, s stage) {
	a.stages[f.stage]--
	a.stages[s]++
	f.stage = s
}

// busy returns how many requests the upstream has in progress. Those that are
// expected on new flows count half: they arrive after a round trip, in which as
// many of the running ones end.
func (a *Agent) busy() int { return a.stages[running] + a.stages[expected]/2 }

// opening decides about a packet that asks for a new flow.
func (a *Agent) opening(now time.Time, p *Packet, f *held, mark ForwardingHeader, origin netip.Addr, data []byte, out *[]Action) {
	if f != nil && !f.gone && f.opening == p.Sequence && f.incarnation == a.upstream.Incarnation {
		f.origin = origin
		*out = append(*out, Action{Kind: Deliver, Reason: Repeated, Flow: p.Flow, Data: data})
		return
	}
	delete(a.denials, p.Flow)
	if a.busy() >= a.upstream.Slots && !now.Before(a.workCheckAt) {
		a.workCheckAt = now.Add(workCheck)
		a.dropStaleWork(now)
	}
	if verdict := a.refusal(now, mark); verdict != 0 {
		a.reject(p, origin, verdict, out)
		return
	}
	if f != nil {
		a.forget(p.Flow, f)
	}
	f = &held{incarnation: a.upstream.Incarnation, origin: origin, opening: p.Sequence, openedAt: now, seenAt: now}
	a.stages[quiet]++
	a.setStage(f, expected)
	a.flows[p.Flow] = f
	a.unanswered = append(a.unanswered, unanswered{key: p.Flow, opening: p.Sequence, at: now})
	a.planSweep(now)
	*out = append(*out, Action{Kind: Deliver, Reason: Placed, Flow: p.Flow, Data: data})
}

// refusal says why an opening is not taken, or 0.
func (a *Agent) refusal(now time.Time, mark ForwardingHeader) Verdict {
	switch {
	case !a.known:
		return StatusUnknown
	case a.upstream.Status != view.Ready:
		return Leaving
	case now.Before(a.silentUntil) && !mark.LastCandidate:
		return NoResponse
	case len(a.flows) >= a.cfg.MaxFlows:
		return Refused
	case !mark.LastCandidate && a.busy() >= a.upstream.Slots:
		return Busy
	case !a.service.admits(a.busy(), a.upstream.Slots, mark.TimeBudget):
		return Overloaded
	}
	return 0
}

func (a *Agent) reject(p *Packet, origin netip.Addr, v Verdict, out *[]Action) {
	if p.IsOpening() {
		a.tell(origin, Message{Kind: OpeningRejected, Verdict: v, Flow: p.Flow, Sequence: p.Sequence}, NotReady, out)
		return
	}
	a.tell(origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, WrongService, out)
}

// unknown hands a packet of an unknown flow to the upstream, which returns it
// if it does not hold the flow either.
func (a *Agent) unknown(now time.Time, p *Packet, origin netip.Addr, data []byte, out *[]Action) {
	if a.denies(now, p.Flow) {
		a.tell(origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, NotHeld, out)
		return
	}
	a.doubts[p.Flow] = doubt{origin: origin, until: now.Add(doubtLifetime)}
	a.planSweep(now)
	*out = append(*out, Action{Kind: Deliver, Reason: CandidateTried, Flow: p.Flow, Data: data})
}

// certain reports whether this agent has seen a packet of every flow that its
// upstream may hold.
func (a *Agent) certain(now time.Time) bool {
	if now.Sub(a.cfg.Started) > a.cfg.IdleTimeout+sweepInterval {
		return true
	}
	return a.sawStart || (a.absent && !a.known)
}

// denies reports whether the upstream certainly does not hold an unknown flow.
func (a *Agent) denies(now time.Time, key flow.Key) bool {
	at, denied := a.denials[key]
	return (denied && now.Sub(at) < denialLifetime) || a.upstream.Status == view.Failed || a.certain(now)
}

// Message answers the questions of a balancer.
func (a *Agent) Message(now time.Time, from netip.Addr, m *Message, out *[]Action) {
	if m.Kind != LookupRequest {
		return
	}
	answer := Message{Kind: LookupResponse, LookupID: m.LookupID, Verdicts: make([]Verdict, 0, len(m.Lookups))}
	for i := range m.Lookups {
		answer.Verdicts = append(answer.Verdicts, a.verdict(now, from, &m.Lookups[i]))
	}
	a.tell(from, answer, KnownFlow, out)
}

// verdict says whether the upstream holds a flow.
func (a *Agent) verdict(now time.Time, from netip.Addr, q *FlowLookup) Verdict {
	f := a.flows[q.Flow]
	switch {
	case f != nil && f.gone:
		// Its packets are answered by a reset here.
		if f.near(q.Ack) {
			return FlowHeld
		}
	case f != nil && !f.lost && (f.open || (f.answered && q.Ack-f.answer <= ackWindow)):
		f.origin = from
		return FlowHeld
	case f == nil && !a.denies(now, q.Flow):
		return FlowUndetermined
	}
	return FlowNotHeld
}

func (a *Agent) tell(to netip.Addr, m Message, reason Reason, out *[]Action) {
	m.Load, m.Flows = uint16(min(a.busy(), 1<<16-1)), uint16(min(len(a.flows), 1<<16-1))
	*out = append(*out, Action{Kind: SendMessage, Reason: reason, Flow: m.Flow, To: to, Message: m})
}
