package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// queueCross keeps a change of the own zone for the other zones. Whether the
// own process is a delegate is decided once per round: the ranking takes time
// linear in the zone.
func (n *Node) queueCross(r *record) {
	if r.zone != n.self.zone || r.crossQueued {
		return
	}
	r.crossQueued = true
	n.cross = append(n.cross, r)
}

// dropCross forgets the queue of a process that is no delegate.
func (n *Node) dropCross() {
	for _, r := range n.cross {
		r.crossQueued = false
	}
	n.cross = nil
}

func (n *Node) tickDelegate(now time.Time, out *Output) {
	if now.Before(n.stampAt) {
		n.crossRound(now, out)
		return
	}
	n.stampAt = now.Add(stampInterval)
	n.crossRound(now, out)
	if n.delegateRank() < 0 {
		return
	}
	n.self.zone.stamp++
	for _, to := range n.counterparts() {
		n.emit(out, to.member.Address, &message{Kind: kindGossip, Stamps: n.stamps()})
	}
}

// counterparts returns the delegate of the own rank in each other zone.
func (n *Node) counterparts() []*record {
	rank := n.delegateRank()
	if rank < 0 {
		return nil
	}
	var list []*record
	for _, z := range n.zones {
		if d := n.delegatesOf(z); z != n.self.zone && len(d) > 0 {
			list = append(list, d[min(rank, len(d)-1)])
		}
	}
	return list
}

// crossRound sends the queued changes of the own zone to the other zones. Only
// the delegates do that, so that a change crosses each pair of zones at most
// once per delegate. A lost zone gets them by repair when it returns.
func (n *Node) crossRound(now time.Time, out *Output) {
	if len(n.cross) > 0 && n.delegateRank() < 0 {
		n.dropCross()
	}
	if len(n.cross) == 0 || !n.crossRate.refill(now) {
		return
	}
	for len(n.cross) > 0 && n.crossRate.tokens > 0 {
		batch := n.nextCrossBatch()
		for _, to := range n.counterparts() {
			if to.zone.lost {
				continue
			}
			n.emit(out, to.member.Address, &message{Kind: kindGossip, Records: batch})
			n.crossRate.spend(len(out.Sends[len(out.Sends)-1].Body) + overheadBytes)
		}
	}
	if len(n.cross) == 0 {
		n.cross = nil
	}
}

func (n *Node) nextCrossBatch() []cbor.RawMessage {
	var batch []cbor.RawMessage
	budget := recordBytes
	for len(n.cross) > 0 {
		r := n.cross[0]
		if len(batch) > 0 && len(r.wire()) > budget {
			break
		}
		budget -= len(r.wire())
		batch = append(batch, r.wire())
		r.crossQueued = false
		n.cross = n.cross[1:]
	}
	return batch
}

// stamps returns the known signs of life of all zones.
func (n *Node) stamps() []stamp {
	list := make([]stamp, 0, len(n.zones))
	for _, z := range n.zones {
		list = append(list, stamp{Zone: z.key, Count: z.stamp})
	}
	return list
}

// takeStamps renews the lease of zones whose stamp has advanced. A lost zone
// returns only after several advances, so that a link that comes and goes does
// not make its members flap.
func (n *Node) takeStamps(now time.Time, stamps []stamp, out *Output) {
	for _, s := range stamps {
		z := n.zoneByKey(s.Zone)
		if z == nil || s.Count <= z.stamp || s.Count > maxVersion {
			continue
		}
		z.stamp, z.stampAt = s.Count, now
		if !z.lost {
			continue
		}
		z.advances++
		if z.advances >= returnStamps {
			z.lost = false
			n.changes++
			out.Events = append(out.Events, Event{Kind: ZoneReturned, Zone: z.id, Reason: "its stamp advances again"})
		}
	}
}

// tickLeases marks zones without a sign of life as lost and forgets old
// records, once per second.
func (n *Node) tickLeases(now time.Time, out *Output) {
	if now.Before(n.sweepAt) {
		return
	}
	n.sweepAt = now.Add(time.Second)
	for _, z := range n.zones {
		if z == n.self.zone {
			continue
		}
		if len(z.live) == 0 {
			// The lease of an empty zone starts with its first member.
			z.stampAt = now
		}
		if !z.lost && len(z.live) > 0 && now.Sub(z.stampAt) > Lease {
			z.lost, z.advances = true, 0
			n.changes++
			out.Events = append(out.Events, Event{Kind: ZoneLost, Zone: z.id, Reason: "lease expired"})
		}
	}
	n.sweep(now, out)
}

// sweep forgets one bucket of each zone per call.
func (n *Node) sweep(now time.Time, out *Output) {
	n.sweepBucket = (n.sweepBucket + 1) % bucketCount
	for _, z := range n.zones {
		abandoned := z.lost && now.Sub(z.stampAt) > tombstoneAge
		var old []*record
		for _, r := range z.buckets[n.sweepBucket] {
			if r != n.self && (abandoned || !r.live() && now.Sub(r.changedAt) > tombstoneAge) {
				old = append(old, r)
			}
		}
		for _, r := range old {
			n.unlink(r)
			delete(n.records, r.hash)
			n.changes++
			n.note(out, Dropped, r, "no sign of life for the retention period")
		}
	}
}
