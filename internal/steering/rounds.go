package steering

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// locateInterval is how long agents may take to answer a question before
	// those that have not are asked again, and locateTries how often they are
	// asked, besides the time that the questions take on the link. Together they
	// stay below the first retransmission interval (200 ms).
	locateInterval = 50 * time.Millisecond
	locateTries    = 3
	// roundLifetime is how long late answers to a question count.
	roundLifetime = time.Second
	// maxQuestions bounds the questions in one datagram of 1,200 bytes.
	maxQuestions = 40
	// maxQueued bounds the flows that wait for a search.
	maxQueued = 2_000
	// searchLinkShare is the part of the link that searches may take, and
	// searchBurst for how long they may take it at once. After a loss of power
	// every flow is searched, and the questions must displace neither the packets
	// of callers nor each other's answers.
	searchLinkShare = 0.2
	searchBurst     = 400 * time.Millisecond
	// searchBytesPerSecond bounds them on fast links: at 100 bytes and 20 us a
	// message 0.025 of a core.
	searchBytesPerSecond = 120_000
	// roundBytes is what a question and its answer take on the link besides the
	// flows, questionBytes what each flow takes in both.
	roundBytes    = 120
	questionBytes = 24
)

// round is a set of questions that all agents get together. It answers the
// pattern in which many flows are searched at once, among many agents, over a slow
// link: asked one by one, a thousand flows and 60 agents take megabytes.
type round struct {
	number  uint32
	entries []*entry
	// silent are the agents that have not answered.
	silent []*target
	tries  int
	// at is when the next step is due.
	at    time.Time
	ended bool
}

// enqueue plans a search. The first one starts at once; those that come while its
// answers are on their way, or while the link is needed for packets, go together.
func (b *Balancer) enqueue(now time.Time, e *entry, out *[]Action) {
	if len(b.queue) >= maxQueued {
		e.state, e.target, e.missedAt, e.deadline, e.denied, e.held = missing, nil, now, time.Time{}, false, nil
		*out = append(*out, Action{Kind: Drop, Reason: SearchLimit, Flow: e.key})
		return
	}
	e.state, e.target, e.search, e.deadline = locating, nil, &search{}, time.Time{}
	if e.searchedAt.IsZero() {
		e.searchedAt = now
	}
	b.queue = append(b.queue, e)
	b.startRound(now, out)
}

// startRound asks about the flows that wait, if it is time.
func (b *Balancer) startRound(now time.Time, out *[]Action) {
	b.queue = slices.DeleteFunc(b.queue, func(e *entry) bool { return e.state != locating || b.flows[e.key] != e })
	if len(b.queue) == 0 || now.Before(b.nextRoundAt) {
		return
	}
	r := &round{silent: b.holders()}
	if len(r.silent) == 0 {
		b.dropQueued(out)
		return
	}
	count := b.questionsAllowed(now, len(r.silent))
	if count == 0 {
		// The link is needed for packets.
		b.nextRoundAt = now.Add(locateInterval)
		return
	}
	r.entries = slices.Clone(b.queue[:count])
	b.queue = slices.Delete(b.queue, 0, count)
	b.roundNumber++
	r.number = b.roundNumber
	for _, e := range r.entries {
		e.search.round = r.number
	}
	b.rounds[r.number] = r
	b.ask(now, r, out)
	b.nextRoundAt = r.at
}

// holders returns the agents whose upstreams may hold a flow.
func (b *Balancer) holders() []*target {
	list := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		if t.Status != view.Left {
			list = append(list, t)
		}
	}
	return list
}

func (b *Balancer) dropQueued(out *[]Action) {
	for _, e := range b.queue {
		delete(b.flows, e.key)
		*out = append(*out, Action{Kind: Drop, Reason: NoUpstream, Flow: e.key})
	}
	b.queue = nil
}

// searchBytes is what questions about so many flows and their answers take.
func searchBytes(agents, flows int) int { return agents * (roundBytes + flows*questionBytes) }

// questionsAllowed returns how many flows may be asked about now, and takes their
// bytes from the bound. If not all can be, it waits until the bound allows as many
// as at most: the more flows go together, the less each of them costs.
func (b *Balancer) questionsAllowed(now time.Time, agents int) int {
	bytesPerSecond := float64(searchBytesPerSecond)
	if link := b.cfg.LinkBitsPerSecond; link > 0 {
		const bitsPerByte = 8
		bytesPerSecond = min(bytesPerSecond, searchLinkShare*link/bitsPerByte)
	}
	burst := max(int(bytesPerSecond*searchBurst.Seconds()), searchBytes(agents, 1))
	b.searches.SetLimitAt(now, rate.Limit(bytesPerSecond))
	if b.searches.Burst() == 0 {
		// The first search: nothing has been used yet.
		b.searches = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	b.searches.SetBurstAt(now, burst)
	tokens := int(b.searches.TokensAt(now))
	count := min((tokens/agents-roundBytes)/questionBytes, len(b.queue), maxQuestions)
	full := tokens >= burst-1
	if count < 1 || (count < min(len(b.queue), maxQuestions) && !full) || !b.searches.AllowN(now, searchBytes(agents, count)) {
		return 0
	}
	return count
}

// ask sends the questions to the agents that have not answered.
func (b *Balancer) ask(now time.Time, r *round, out *[]Action) {
	r.tries++
	r.at = now.Add(locateInterval + b.transmission(searchBytes(len(r.silent), len(r.entries))))
	m := Message{Kind: LookupRequest, LookupID: r.number, Lookups: make([]FlowLookup, 0, len(r.entries))}
	for _, e := range r.entries {
		m.Lookups = append(m.Lookups, FlowLookup{Flow: e.key, Ack: e.ack})
	}
	for _, t := range r.silent {
		*out = append(*out, Action{Kind: SendMessage, Reason: CandidateTried, Flow: r.entries[0].key, To: t.Address.Addr(), Message: m})
	}
}

// transmission returns how long so many bytes take on the link while packets of
// callers use as much of it.
func (b *Balancer) transmission(size int) time.Duration {
	const bitsPerByte, shares = 8, 2
	if b.cfg.LinkBitsPerSecond == 0 {
		return 0
	}
	return time.Duration(shares * float64(size*bitsPerByte) / b.cfg.LinkBitsPerSecond * float64(time.Second))
}

// asks reports whether a flow still waits for the answers of a round.
func (b *Balancer) asks(r *round, e *entry) bool {
	return b.flows[e.key] == e && e.state == locating && e.search != nil && e.search.round == r.number
}

// located takes the answers of one agent. An answer that comes late still names
// the flows that the upstream holds.
func (b *Balancer) located(now time.Time, t *target, m *Message, out *[]Action) {
	r := b.rounds[m.LookupID]
	if r == nil || len(m.Verdicts) != len(r.entries) {
		return
	}
	before := len(r.silent)
	r.silent = slices.DeleteFunc(r.silent, func(other *target) bool { return other == t })
	first := len(r.silent) < before
	waiting := false
	for i, e := range r.entries {
		if b.flows[e.key] != e {
			continue
		}
		switch {
		case m.Verdicts[i] == FlowHeld:
			b.holding(now, e, t, out)
		case m.Verdicts[i] == FlowUndetermined && first && b.asks(r, e):
			e.search.unsure = append(e.search.unsure, t)
		}
		waiting = waiting || b.asks(r, e)
	}
	if !r.ended && (len(r.silent) == 0 || !waiting) {
		b.endRound(now, r, out)
	}
}

// endRound ends the searches that have no holder, and starts the next round.
func (b *Balancer) endRound(now time.Time, r *round, out *[]Action) {
	r.ended, r.at = true, now.Add(roundLifetime)
	expected := b.mute(now, r.silent)
	for _, e := range r.entries {
		if b.asks(r, e) {
			e.search.silent = slices.Clone(r.silent)
			b.searchEnded(now, e, expected, out)
		}
	}
	b.nextRoundAt = time.Time{}
	b.startRound(now, out)
}

// tickRounds repeats questions, whose packets or answers may be lost on a full
// link, and ends rounds.
func (b *Balancer) tickRounds(now time.Time, out *[]Action) {
	for number, r := range b.rounds {
		switch {
		case now.Before(r.at):
		case r.ended:
			delete(b.rounds, number)
		case r.tries < locateTries && awaited(r.silent):
			if b.searches.AllowN(now, searchBytes(len(r.silent), len(r.entries))) {
				b.ask(now, r, out)
				continue
			}
			r.tries++
			r.at = now.Add(locateInterval)
		default:
			b.endRound(now, r, out)
		}
	}
	b.startRound(now, out)
}

// roundsDeadline returns when tickRounds has something to do; zero if never.
func (b *Balancer) roundsDeadline() time.Time {
	var next time.Time
	if len(b.queue) > 0 {
		next = b.nextRoundAt
	}
	for _, r := range b.rounds {
		if next.IsZero() || r.at.Before(next) {
			next = r.at
		}
	}
	return next
}
