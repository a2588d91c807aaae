package membership

import (
	"net/netip"
	"slices"
	"time"
)

// prober is the state of the probes of one node.
type prober struct {
	nextAt  time.Time
	seq     uint32
	targets []*record // shuffled; each member of the zone once per pass
	own     *probe
	relayed []*probe
}

// probe is one attempt to reach a member, for the own process or for another.
type probe struct {
	target   *record
	seq      uint32
	startAt  time.Time
	indirect bool
	retried  bool
	asked    int
	// disagreed holds the helpers that could not reach the target either.
	disagreed []uint64
	// replyTo and replySeq are set if the probe is made for another member.
	replyTo  netip.AddrPort
	replySeq uint32
}

func (n *Node) tickProbes(now time.Time, out *Output) {
	p := &n.probes
	n.tickRelayed(now, out)
	if p.own != nil {
		n.advanceProbe(now, out)
	}
	if now.Before(p.nextAt) {
		return
	}
	p.nextAt = now.Add(probeInterval)
	target := n.nextTarget()
	if target == nil || p.own != nil {
		return
	}
	p.own = &probe{target: target, seq: n.ping(now, target, out), startAt: now}
}

// nextTarget returns the next member of the own zone to probe.
func (n *Node) nextTarget() *record {
	p := &n.probes
	for range 2 {
		for len(p.targets) > 0 {
			last := len(p.targets) - 1
			r := p.targets[last]
			p.targets = p.targets[:last]
			if r.live() && r.zone == n.self.zone && n.records[r.hash] == r {
				return r
			}
		}
		for _, r := range n.self.zone.live {
			if r != n.self {
				p.targets = append(p.targets, r)
			}
		}
		n.rng.Shuffle(len(p.targets), func(i, j int) { p.targets[i], p.targets[j] = p.targets[j], p.targets[i] })
	}
	return nil
}

// ping sends a probe. A suspected target is told so, so that it can refute.
func (n *Node) ping(now time.Time, target *record, out *Output) uint32 {
	n.probes.seq++
	m := &message{Kind: kindPing, Seq: n.probes.seq, Target: target.hash, Stamps: n.stamps()}
	n.piggyback(now, m, target)
	n.emit(out, target.member.Address, m)
	return n.probes.seq
}

func (n *Node) answerPing(now time.Time, from netip.AddrPort, m *message, out *Output) {
	if m.Target != n.self.hash {
		// The address now belongs to another VM.
		return
	}
	answer := &message{Kind: kindAck, Seq: m.Seq, Stamps: n.stamps()}
	sender := n.records[m.From]
	if sender == nil {
		// The sender is told whom it reached and repairs itself.
		answer.Records = append(answer.Records, n.self.wire())
	}
	n.piggyback(now, answer, sender)
	n.emit(out, from, answer)
	if sender == nil {
		n.repair.soon(now)
	}
}

// advanceProbe moves the own probe from direct to indirect to its end.
func (n *Node) advanceProbe(now time.Time, out *Output) {
	p := n.probes.own
	age := now.Sub(p.startAt)
	if !p.indirect && age >= directTimeout {
		p.indirect = true
		n.askHelpers(p, out)
	}
	if age < probeTimeout && (p.asked == 0 || len(p.disagreed) < p.asked) {
		return
	}
	if age < directTimeout {
		return
	}
	n.probes.own = nil
	if len(p.disagreed) > 0 {
		n.suspect(now, p.target, p.disagreed[0], out)
		return
	}
	n.expireUnobserved(now, p, out)
}

func (n *Node) askHelpers(p *probe, out *Output) {
	for _, h := range n.chooseHelpers(p.target) {
		m := &message{Kind: kindProbeRequest, Seq: p.seq, Target: p.target.hash, Records: wireOf(p.target)}
		n.emit(out, h.member.Address, m)
		p.asked++
	}
}

// chooseHelpers picks members of the own zone; in a zone too small to offer
// them, members of other zones, the own region first.
func (n *Node) chooseHelpers(target *record) []*record {
	var chosen []*record
	usable := func(r *record) bool {
		return r != n.self && r != target && r.verdict == alive && !slices.Contains(chosen, r)
	}
	chosen = n.pick(chosen, n.self.zone.live, helpers, usable)
	for _, sameRegion := range []bool{true, false} {
		for _, z := range n.zones {
			if z == n.self.zone || z.lost || z.id.SameRegion(n.self.zone.id) != sameRegion {
				continue
			}
			chosen = n.pick(chosen, z.live, helpers, usable)
		}
	}
	return chosen
}

// pick appends random members until there are want of them. It tries each
// member at most once.
func (n *Node) pick(chosen, from []*record, want int, usable func(*record) bool) []*record {
	if len(chosen) >= want || len(from) == 0 {
		return chosen
	}
	offset, step := n.rng.IntN(len(from)), 1
	// A random start with a step coprime to the length visits every member
	// once without allocating a permutation.
	if len(from) > 2 {
		step = 1 + n.rng.IntN(len(from)-1)
		for gcd(step, len(from)) != 1 {
			step--
		}
	}
	for i := 0; i < len(from) && len(chosen) < want; i++ {
		if r := from[(offset+i*step)%len(from)]; usable(r) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (n *Node) relayProbe(now time.Time, from netip.AddrPort, m *message, out *Output) {
	target := n.records[m.Target]
	if target == nil || target == n.self {
		return
	}
	n.probes.relayed = append(n.probes.relayed, &probe{
		target: target, seq: n.ping(now, target, out), startAt: now, replyTo: from, replySeq: m.Seq,
	})
}

func (n *Node) tickRelayed(now time.Time, out *Output) {
	kept := n.probes.relayed[:0]
	for _, p := range n.probes.relayed {
		age := now.Sub(p.startAt)
		if age >= relayTimeout {
			n.emit(out, p.replyTo, &message{Kind: kindNack, Seq: p.replySeq, Target: p.target.hash})
			continue
		}
		if age >= relayRetry && !p.retried {
			p.retried = true
			n.resend(now, p, out)
		}
		kept = append(kept, p)
	}
	n.probes.relayed = kept
}

// resend repeats a ping with its sequence number, so that the answer to
// either one counts.
func (n *Node) resend(now time.Time, p *probe, out *Output) {
	m := &message{Kind: kindPing, Seq: p.seq, Target: p.target.hash}
	n.piggyback(now, m, p.target)
	n.emit(out, p.target.member.Address, m)
}

// takeAck ends the probe that the acknowledgement answers. An acknowledgement
// with a target was relayed by a helper.
func (n *Node) takeAck(now time.Time, m *message, out *Output) {
	subject := m.From
	if m.Target != 0 {
		subject = m.Target
	}
	if own := n.probes.own; own != nil && own.seq == m.Seq && own.target.hash == subject {
		own.target.heardAt = now
		n.probes.own = nil
		return
	}
	for i, p := range n.probes.relayed {
		if p.seq == m.Seq && p.target.hash == m.From {
			n.emit(out, p.replyTo, &message{Kind: kindAck, Seq: p.replySeq, Target: p.target.hash})
			n.probes.relayed = append(n.probes.relayed[:i], n.probes.relayed[i+1:]...)
			return
		}
	}
}

func (n *Node) takeNack(now time.Time, m *message, out *Output) {
	p := n.probes.own
	if p == nil || p.seq != m.Seq || p.target.hash != m.Target || n.records[m.From] == nil {
		return
	}
	for _, d := range p.disagreed {
		if d == m.From {
			return
		}
	}
	p.disagreed = append(p.disagreed, m.From)
	n.advanceProbe(now, out)
}

// suspect records that the own process and a helper cannot reach a member.
func (n *Node) suspect(now time.Time, r *record, helper uint64, out *Output) {
	if r.verdict != alive || !r.live() || n.records[r.hash] != r {
		return
	}
	n.change(now, r, func() {
		r.verdict, r.observers = suspected, [2]uint64{n.self.hash, helper}
	})
	n.suspects = append(n.suspects, r)
	n.note(out, Suspected, r, "not reached by two observers")
	n.spread(r)
	n.gossip.urgent = true
	n.flushUrgent(now, out)
}

// tickSuspects fails members that have not refuted in time. Only members of
// the zone decide that; other zones are told.
func (n *Node) tickSuspects(now time.Time, out *Output) {
	kept := n.suspects[:0]
	for _, r := range n.suspects {
		if r.verdict != suspected || n.records[r.hash] != r {
			continue
		}
		if r.zone != n.self.zone || now.Sub(r.changedAt) < refuteTimeout {
			kept = append(kept, r)
			continue
		}
		n.change(now, r, func() { r.verdict = failed })
		n.note(out, Failed, r, "suspicion not refuted")
		// Every member of the zone reaches this verdict by its own timer, so
		// only the delegates pass it on.
		n.queueCross(r)
	}
	n.suspects = kept
}

// expireUnobserved ends the lease of a member that nobody else can observe,
// for example in a cluster of two. The verdict stays here: it names only one
// observer, so that others ignore it.
func (n *Node) expireUnobserved(now time.Time, p *probe, out *Output) {
	r := p.target
	if p.asked > 0 || r.verdict != alive || now.Sub(r.heardAt) < Lease {
		return
	}
	n.change(now, r, func() {
		r.verdict, r.observers = failed, [2]uint64{n.self.hash, 0}
	})
	n.note(out, Failed, r, "lease expired, no second observer exists")
}
