package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probeState holds the probes that this node has in progress.
type probeState struct {
	nextProbeAt      time.Time
	lastSeq          uint32
	remainingTargets []*memberRecord // in random order; refilled when every member was probed
	current          *probe
	relayed          []*probe
}

// probe is an attempt to reach a member. A relayed probe is made on behalf of
// another member, the requester.
type probe struct {
	target           *memberRecord
	seq              uint32
	startedAt        time.Time
	pingRequestsSent bool
	pingRetried      bool
	relaysRequested  int
	// nackedBy holds the relays that did not reach the target either.
	nackedBy []uint64
	// requester and requesterSeq are set only in a relayed probe.
	requester    netip.AddrPort
	requesterSeq uint32
}

// runProbes advances all probes in progress and starts one every probeInterval.
func (n *Node) runProbes(now time.Time, out *Output) {
	probing := &n.probing
	n.advanceRelayedProbes(now, out)
	if probing.current != nil {
		n.advanceProbe(now, out)
	}
	if now.Before(probing.nextProbeAt) {
		return
	}
	probing.nextProbeAt = now.Add(probeInterval)
	target := n.nextTarget()
	if target == nil || probing.current != nil {
		return
	}
	probing.current = &probe{target: target, seq: n.ping(now, target, out), startedAt: now}
}

// nextTarget returns the next member of the local zone to probe. Each round probes
// every member once, in random order.
func (n *Node) nextTarget() *memberRecord {
	probing := &n.probing
	for range 2 {
		for len(probing.remainingTargets) > 0 {
			last := len(probing.remainingTargets) - 1
			r := probing.remainingTargets[last]
			probing.remainingTargets = probing.remainingTargets[:last]
			if r.isActive() && r.zone == n.self.zone && n.records[r.hash] == r {
				return r
			}
		}
		for _, r := range n.self.zone.activeMembers {
			if r != n.self {
				probing.remainingTargets = append(probing.remainingTargets, r)
			}
		}
		n.rng.Shuffle(len(probing.remainingTargets), func(i, j int) {
			probing.remainingTargets[i], probing.remainingTargets[j] = probing.remainingTargets[j], probing.remainingTargets[i]
		})
	}
	return nil
}

// ping sends a ping and returns its sequence number. A suspected target receives
// its own record with the ping, so that it can refute the suspicion.
func (n *Node) ping(now time.Time, target *memberRecord, out *Output) uint32 {
	n.probing.lastSeq++
	m := &message{Kind: kindPing, Seq: n.probing.lastSeq, Target: target.hash, ZoneHeartbeats: n.zoneHeartbeats()}
	n.attachGossip(now, m, target)
	n.appendMessage(out, target.member.Address, m)
	return n.probing.lastSeq
}

func (n *Node) handlePing(now time.Time, from netip.AddrPort, m *message, out *Output) {
	if m.Target != n.self.hash {
		// The address was reassigned: the ping is for another VM.
		return
	}
	ack := &message{Kind: kindAck, Seq: m.Seq, ZoneHeartbeats: n.zoneHeartbeats()}
	sender := n.records[m.Sender]
	if sender == nil {
		// There is no record of the sender. The ack carries the local record, and
		// an exchange is scheduled to receive the missing records.
		ack.Records = append(ack.Records, n.self.encoded())
	}
	n.attachGossip(now, ack, sender)
	n.appendMessage(out, from, ack)
	if sender == nil {
		n.antiEntropy.scheduleFollowUp(now)
	}
}

// advanceProbe sends ping requests to relays after directProbeTimeout. It ends the
// current probe when all relays have sent a nack, or after probeTimeout.
func (n *Node) advanceProbe(now time.Time, out *Output) {
	current := n.probing.current
	age := now.Sub(current.startedAt)
	if !current.pingRequestsSent && age >= directProbeTimeout {
		current.pingRequestsSent = true
		n.sendPingRequests(current, out)
	}
	if age < probeTimeout && (current.relaysRequested == 0 || len(current.nackedBy) < current.relaysRequested) {
		return
	}
	if age < directProbeTimeout {
		return
	}
	n.probing.current = nil
	if len(current.nackedBy) > 0 {
		n.markSuspected(now, current.target, current.nackedBy[0], out)
		return
	}
	n.failUnobservable(now, current, out)
}

// sendPingRequests sends ping requests to relays, which then ping the target on
// behalf of this node.
func (n *Node) sendPingRequests(p *probe, out *Output) {
	for _, relay := range n.selectRelays(p.target) {
		m := &message{Kind: kindPingRequest, Seq: p.seq, Target: p.target.hash, Records: singleRecord(p.target)}
		n.appendMessage(out, relay.member.Address, m)
		p.relaysRequested++
	}
}

// selectRelays returns random members of the local zone. If the zone has too few,
// it adds members of other zones, first from the local region.
func (n *Node) selectRelays(target *memberRecord) []*memberRecord {
	var relays []*memberRecord
	eligible := func(r *memberRecord) bool {
		return r != n.self && r != target && r.liveness == alive && !slices.Contains(relays, r)
	}
	relays = n.appendRandomMembers(relays, n.self.zone.activeMembers, relaysPerProbe, eligible)
	for _, sameRegion := range []bool{true, false} {
		for _, z := range n.zones {
			if z == n.self.zone || z.lost || z.id.SameRegion(n.self.zone.id) != sameRegion {
				continue
			}
			relays = n.appendRandomMembers(relays, z.activeMembers, relaysPerProbe, eligible)
		}
	}
	return relays
}

// appendRandomMembers appends random eligible candidates until the list has limit
// members. It checks each candidate at most once.
func (n *Node) appendRandomMembers(members, candidates []*memberRecord, limit int, eligible func(*memberRecord) bool) []*memberRecord {
	if len(members) >= limit || len(candidates) == 0 {
		return members
	}
	offset, step := n.rng.IntN(len(candidates)), 1
	// A random start and a step that is coprime to the length visit every
	// candidate once without allocating a permutation.
	if len(candidates) > 2 {
		step = 1 + n.rng.IntN(len(candidates)-1)
		for gcd(step, len(candidates)) != 1 {
			step--
		}
	}
	for i := 0; i < len(candidates) && len(members) < limit; i++ {
		if r := candidates[(offset+i*step)%len(candidates)]; eligible(r) {
			members = append(members, r)
		}
	}
	return members
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// handlePingRequest starts a relayed probe.
func (n *Node) handlePingRequest(now time.Time, from netip.AddrPort, m *message, out *Output) {
	target := n.records[m.Target]
	if target == nil || target == n.self {
		return
	}
	n.probing.relayed = append(n.probing.relayed, &probe{
		target: target, seq: n.ping(now, target, out), startedAt: now, requester: from, requesterSeq: m.Seq,
	})
}

// advanceRelayedProbes repeats pings after relayRetryDelay. After relayTimeout it
// sends a nack to the requester.
func (n *Node) advanceRelayedProbes(now time.Time, out *Output) {
	unfinished := n.probing.relayed[:0]
	for _, p := range n.probing.relayed {
		age := now.Sub(p.startedAt)
		if age >= relayTimeout {
			n.appendMessage(out, p.requester, &message{Kind: kindNack, Seq: p.requesterSeq, Target: p.target.hash})
			continue
		}
		if age >= relayRetryDelay && !p.pingRetried {
			p.pingRetried = true
			n.retryPing(now, p, out)
		}
		unfinished = append(unfinished, p)
	}
	n.probing.relayed = unfinished
}

// retryPing repeats a ping with the same sequence number, so that an ack of either
// ping ends the probe.
func (n *Node) retryPing(now time.Time, p *probe, out *Output) {
	m := &message{Kind: kindPing, Seq: p.seq, Target: p.target.hash}
	n.attachGossip(now, m, p.target)
	n.appendMessage(out, p.target.member.Address, m)
}

// handleAck ends the probe with the sequence number of the ack. An ack that names a
// target was sent by a relay.
func (n *Node) handleAck(now time.Time, m *message, out *Output) {
	reached := m.Sender
	if m.Target != 0 {
		reached = m.Target
	}
	if current := n.probing.current; current != nil && current.seq == m.Seq && current.target.hash == reached {
		current.target.lastReceivedAt = now
		n.probing.current = nil
		return
	}
	for i, p := range n.probing.relayed {
		if p.seq == m.Seq && p.target.hash == m.Sender {
			n.appendMessage(out, p.requester, &message{Kind: kindAck, Seq: p.requesterSeq, Target: p.target.hash})
			n.probing.relayed = append(n.probing.relayed[:i], n.probing.relayed[i+1:]...)
			return
		}
	}
}

// handleNack records that a relay did not reach the target of the current probe.
func (n *Node) handleNack(now time.Time, m *message, out *Output) {
	current := n.probing.current
	if current == nil || current.seq != m.Seq || current.target.hash != m.Target || n.records[m.Sender] == nil {
		return
	}
	for _, relayHash := range current.nackedBy {
		if relayHash == m.Sender {
			return
		}
	}
	current.nackedBy = append(current.nackedBy, m.Sender)
	n.advanceProbe(now, out)
}

// markSuspected marks a member as suspected, with the local process and a relay as
// its observers.
func (n *Node) markSuspected(now time.Time, r *memberRecord, relayHash uint64, out *Output) {
	if r.liveness != alive || !r.isActive() || n.records[r.hash] != r {
		return
	}
	n.updateRecord(now, r, func() {
		r.liveness, r.observers = suspected, [2]uint64{n.self.hash, relayHash}
	})
	n.suspectedRecords = append(n.suspectedRecords, r)
	n.appendEvent(out, Suspected, r, "not reached by two observers")
	n.enqueueChange(r)
	n.gossip.sendNow = true
	n.sendUrgentChanges(now, out)
}

// failUnrefutedSuspects marks members as failed if they have not refuted a suspicion
// within suspicionTimeout. It does this for the local zone only. Other zones receive
// the result from delegates.
func (n *Node) failUnrefutedSuspects(now time.Time, out *Output) {
	stillSuspected := n.suspectedRecords[:0]
	for _, r := range n.suspectedRecords {
		if r.liveness != suspected || n.records[r.hash] != r {
			continue
		}
		if r.zone != n.self.zone || now.Sub(r.changedAt) < suspicionTimeout {
			stillSuspected = append(stillSuspected, r)
			continue
		}
		n.updateRecord(now, r, func() { r.liveness = failed })
		n.appendEvent(out, Failed, r, "suspicion not refuted")
		// Every member of the zone marks the failure by its own timer. The
		// change is therefore not gossiped, only sent to other zones.
		n.enqueueCrossZone(r)
	}
	n.suspectedRecords = stillSuspected
}

// failUnobservable marks a member as failed after LeaseDuration if no relay exists
// that could confirm a suspicion, for example in a cluster of two. The failure stays
// local: the record names only one observer, so other nodes ignore it.
func (n *Node) failUnobservable(now time.Time, p *probe, out *Output) {
	r := p.target
	if p.relaysRequested > 0 || r.liveness != alive || now.Sub(r.lastReceivedAt) < LeaseDuration {
		return
	}
	n.updateRecord(now, r, func() {
		r.liveness, r.observers = failed, [2]uint64{n.self.hash, 0}
	})
	n.appendEvent(out, Failed, r, "lease expired, no second observer exists")
}
