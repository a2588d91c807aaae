package membership

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// tokenBucket limits a rate, in bytes or messages per second.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
}

// refill adds the tokens that have accrued and reports whether any are left.
// spend may make the number of tokens negative. A message larger than the
// remaining tokens is therefore not starved.
func (b *tokenBucket) refill(now time.Time) bool {
	if b.refilledAt.IsZero() {
		b.tokens = b.burst
	} else if now.After(b.refilledAt) {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return b.tokens > 0
}

func (b *tokenBucket) spend(amount int) { b.tokens -= float64(amount) }

// gossipQueue holds the changes to gossip inside the zone. There is one queue for
// each number of transmits so far. Records with fewer transmits are sent first.
type gossipQueue struct {
	byTransmits [maxTransmits][]*memberRecord
	nextRoundAt time.Time
	sendNow     bool
	limiter     tokenBucket
}

// enqueueChange queues a change for gossip inside the zone and for the other zones.
// Only delegates send the latter.
func (n *Node) enqueueChange(r *memberRecord) {
	n.enqueueGossip(r)
	n.enqueueCrossZone(r)
}

func (n *Node) enqueueGossip(r *memberRecord) {
	r.transmits, r.inGossipQueue = 0, true
	n.gossip.byTransmits[0] = append(n.gossip.byTransmits[0], r)
}

// transmitLimit returns how often each node transmits a change.
func (n *Node) transmitLimit() int {
	zoneSize := float64(len(n.self.zone.activeMembers) + 1)
	return min(maxTransmits, max(minTransmits, retransmitFactor*int(math.Ceil(math.Log10(zoneSize)))))
}

// dequeueGossip returns encoded records of at most budget bytes. Records below
// the transmit limit are queued again with one more transmit. The record of the
// recipient itself is left out.
func (n *Node) dequeueGossip(now time.Time, budget int, recipient *memberRecord) []cbor.RawMessage {
	var batch []cbor.RawMessage
	var remaining []*memberRecord
	limit := n.transmitLimit()
	for transmits := range n.gossip.byTransmits {
		queue := n.gossip.byTransmits[transmits]
		consumed := 0
		for _, r := range queue {
			if !r.inGossipQueue || r.transmits != transmits || n.records[r.hash] != r {
				consumed++ // transmitted, changed or evicted since it was queued
				continue
			}
			if now.Sub(r.changedAt) > maxGossipAge {
				consumed++
				r.inGossipQueue = false
				continue
			}
			if r == recipient {
				consumed++ // the recipient announced it
				r.transmits++
				remaining = append(remaining, r)
				continue
			}
			size := len(r.encoded())
			if size > budget {
				break
			}
			consumed++
			budget -= size
			batch = append(batch, r.encoded())
			r.transmits++
			remaining = append(remaining, r)
		}
		n.gossip.byTransmits[transmits] = queue[consumed:]
		if len(n.gossip.byTransmits[transmits]) == 0 {
			n.gossip.byTransmits[transmits] = nil
		}
	}
	for _, r := range remaining {
		if r.transmits >= limit {
			r.inGossipQueue = false
			continue
		}
		n.gossip.byTransmits[r.transmits] = append(n.gossip.byTransmits[r.transmits], r)
	}
	return batch
}

// attachGossip piggybacks queued changes on a probe message. The record of a
// recipient that is suspected or failed comes first, so that it can refute it.
func (n *Node) attachGossip(now time.Time, m *message, recipient *memberRecord) {
	if recipient != nil && recipient.liveness != alive {
		m.Records = append(m.Records, recipient.encoded())
	}
	if recipient != nil && recipient.zone != n.self.zone {
		return
	}
	for _, encoded := range n.dequeueGossip(now, piggybackBudgetBytes, recipient) {
		m.Records = append(m.Records, encoded)
		n.gossip.limiter.spend(len(encoded))
	}
}

// singleRecord returns the encoded record as a list.
func singleRecord(r *memberRecord) []cbor.RawMessage { return []cbor.RawMessage{r.encoded()} }

func (n *Node) hasQueuedGossip() bool {
	for _, queue := range n.gossip.byTransmits {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

func (n *Node) sendGossipIfDue(now time.Time, out *Output) {
	if now.Before(n.gossip.nextRoundAt) {
		return
	}
	n.gossip.nextRoundAt = now.Add(gossipInterval)
	n.sendGossip(now, out)
}

// sendUrgentChanges sends a suspicion or refutation without waiting for the next
// gossip round.
func (n *Node) sendUrgentChanges(now time.Time, out *Output) {
	if !n.gossip.sendNow {
		return
	}
	n.gossip.sendNow = false
	n.sendGossip(now, out)
	n.sendCrossZoneChanges(now, out)
}

// sendGossip sends queued changes to gossipFanout random members of the zone.
func (n *Node) sendGossip(now time.Time, out *Output) {
	if len(n.self.zone.activeMembers) == 1 {
		n.gossip.byTransmits = [maxTransmits][]*memberRecord{}
	}
	if !n.hasQueuedGossip() || !n.gossip.limiter.refill(now) {
		return
	}
	eligible := func(r *memberRecord) bool { return r != n.self }
	for _, peer := range n.appendRandomMembers(nil, n.self.zone.activeMembers, gossipFanout, eligible) {
		m := &message{Kind: kindGossip, Records: n.dequeueGossip(now, recordBudgetBytes, nil)}
		if len(m.Records) == 0 {
			return
		}
		n.appendMessage(out, peer.member.Address, m)
		n.gossip.limiter.spend(len(out.Messages[len(out.Messages)-1].Body) + packetOverheadBytes)
	}
}
