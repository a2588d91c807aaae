package membership

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// allowance is a token bucket for bytes.
type allowance struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// refill adds what has accrued and reports whether anything is left. Spending
// may go below zero, so that a message larger than the rest is not starved.
func (a *allowance) refill(now time.Time) bool {
	if a.at.IsZero() {
		a.tokens = a.burst
	} else if now.After(a.at) {
		a.tokens = math.Min(a.burst, a.tokens+a.rate*now.Sub(a.at).Seconds())
	}
	a.at = now
	return a.tokens > 0
}

func (a *allowance) spend(bytes int) { a.tokens -= float64(bytes) }

// gossiper is the queue of changes to pass on inside the zone. A record is on
// the level of the number of times that it was sent; lower levels go first.
type gossiper struct {
	levels    [maxSends][]*record
	nextAt    time.Time
	urgent    bool
	allowance allowance
}

// spread passes a change on, inside the zone and, as a delegate, to others.
func (n *Node) spread(r *record) {
	n.queue(r)
	n.queueCross(r)
}

func (n *Node) queue(r *record) {
	r.sends, r.queued = 0, true
	n.gossip.levels[0] = append(n.gossip.levels[0], r)
}

// sendLimit returns how often one change is sent by each node.
func (n *Node) sendLimit() int {
	size := float64(len(n.self.zone.live) + 1)
	return min(maxSends, max(minSends, spreadFactor*int(math.Ceil(math.Log10(size)))))
}

// take removes up to a number of bytes of records from the queue.
func (n *Node) take(now time.Time, budget int, except *record) []cbor.RawMessage {
	var taken []cbor.RawMessage
	var again []*record
	limit := n.sendLimit()
	for level := range n.gossip.levels {
		entries := n.gossip.levels[level]
		used := 0
		for _, r := range entries {
			if !r.queued || r.sends != level || n.records[r.hash] != r {
				used++ // sent or changed since it was queued
				continue
			}
			if now.Sub(r.changedAt) > gossipAge {
				used++
				r.queued = false
				continue
			}
			if r == except {
				used++ // knows its own announcement
				r.sends++
				again = append(again, r)
				continue
			}
			size := len(r.wire())
			if size > budget {
				break
			}
			used++
			budget -= size
			taken = append(taken, r.wire())
			r.sends++
			again = append(again, r)
		}
		n.gossip.levels[level] = entries[used:]
		if len(n.gossip.levels[level]) == 0 {
			n.gossip.levels[level] = nil
		}
	}
	for _, r := range again {
		if r.sends >= limit {
			r.queued = false
			continue
		}
		n.gossip.levels[r.sends] = append(n.gossip.levels[r.sends], r)
	}
	return taken
}

// piggyback adds queued changes to a probe message. A receiver that is held
// for suspected or failed is told first.
func (n *Node) piggyback(now time.Time, m *message, to *record) {
	if to != nil && to.verdict != alive {
		m.Records = append(m.Records, to.wire())
	}
	if to != nil && to.zone != n.self.zone {
		return
	}
	for _, raw := range n.take(now, piggybackBytes, to) {
		m.Records = append(m.Records, raw)
		n.gossip.allowance.spend(len(raw))
	}
}

func wireOf(r *record) []cbor.RawMessage { return []cbor.RawMessage{r.wire()} }

func (n *Node) pending() bool {
	for _, l := range n.gossip.levels {
		if len(l) > 0 {
			return true
		}
	}
	return false
}

func (n *Node) tickGossip(now time.Time, out *Output) {
	if now.Before(n.gossip.nextAt) {
		return
	}
	n.gossip.nextAt = now.Add(gossipInterval)
	n.gossipRound(now, out)
}

// flushUrgent sends a suspicion or refutation without waiting for the round.
func (n *Node) flushUrgent(now time.Time, out *Output) {
	if !n.gossip.urgent {
		return
	}
	n.gossip.urgent = false
	n.gossipRound(now, out)
	n.crossRound(now, out)
}

// gossipRound sends queued changes to a few random members of the zone.
func (n *Node) gossipRound(now time.Time, out *Output) {
	if len(n.self.zone.live) == 1 {
		n.gossip.levels = [maxSends][]*record{}
	}
	if !n.pending() || !n.gossip.allowance.refill(now) {
		return
	}
	usable := func(r *record) bool { return r != n.self }
	for _, peer := range n.pick(nil, n.self.zone.live, gossipFanout, usable) {
		m := &message{Kind: kindGossip, Records: n.take(now, recordBytes, nil)}
		if len(m.Records) == 0 {
			return
		}
		n.emit(out, peer.member.Address, m)
		n.gossip.allowance.spend(len(out.Sends[len(out.Sends)-1].Body) + overheadBytes)
	}
}
