package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// enqueueCrossZone queues a change of the local zone for the other zones. Every
// process queues them. sendCrossZoneChanges checks whether the process is a
// delegate, once per round, because the ranking takes time linear in the zone size.
func (n *Node) enqueueCrossZone(r *memberRecord) {
	if r.zone != n.self.zone || r.inCrossZoneQueue {
		return
	}
	r.inCrossZoneQueue = true
	n.crossZoneQueue = append(n.crossZoneQueue, r)
}

// clearCrossZoneQueue discards the queue. It is called when the process is not a
// delegate.
func (n *Node) clearCrossZoneQueue() {
	for _, r := range n.crossZoneQueue {
		r.inCrossZoneQueue = false
	}
	n.crossZoneQueue = nil
}

// runDelegate sends queued changes to the other zones and, every
// zoneHeartbeatInterval, a new zone heartbeat.
func (n *Node) runDelegate(now time.Time, out *Output) {
	if now.Before(n.nextHeartbeatAt) {
		n.sendCrossZoneChanges(now, out)
		return
	}
	n.nextHeartbeatAt = now.Add(zoneHeartbeatInterval)
	n.sendCrossZoneChanges(now, out)
	if n.ownDelegateRank() < 0 {
		return
	}
	n.self.zone.heartbeatCounter++
	for _, to := range n.counterpartDelegates() {
		n.appendMessage(out, to.member.Address, &message{Kind: kindGossip, ZoneHeartbeats: n.zoneHeartbeats()})
	}
}

// counterpartDelegates returns, for each other zone, the delegate with the same rank
// as the local process. If a zone has fewer delegates, it returns the last one.
func (n *Node) counterpartDelegates() []*memberRecord {
	rank := n.ownDelegateRank()
	if rank < 0 {
		return nil
	}
	var counterparts []*memberRecord
	for _, z := range n.zones {
		if delegates := n.zoneDelegates(z); z != n.self.zone && len(delegates) > 0 {
			counterparts = append(counterparts, delegates[min(rank, len(delegates)-1)])
		}
	}
	return counterparts
}

// sendCrossZoneChanges sends the queued changes of the local zone to the other
// zones. Only delegates send them, so that a change crosses each pair of zones at
// most once per delegate. A lost zone receives them by anti-entropy after it
// returns.
func (n *Node) sendCrossZoneChanges(now time.Time, out *Output) {
	if len(n.crossZoneQueue) > 0 && n.ownDelegateRank() < 0 {
		n.clearCrossZoneQueue()
	}
	if len(n.crossZoneQueue) == 0 || !n.crossZoneLimiter.refill(now) {
		return
	}
	for len(n.crossZoneQueue) > 0 && n.crossZoneLimiter.tokens > 0 {
		batch := n.dequeueCrossZoneBatch()
		for _, to := range n.counterpartDelegates() {
			if to.zone.lost {
				continue
			}
			n.appendMessage(out, to.member.Address, &message{Kind: kindGossip, Records: batch})
			n.crossZoneLimiter.spend(len(out.Messages[len(out.Messages)-1].Body) + packetOverheadBytes)
		}
	}
	if len(n.crossZoneQueue) == 0 {
		n.crossZoneQueue = nil
	}
}

// dequeueCrossZoneBatch removes as many records from the queue as fit into one
// message.
func (n *Node) dequeueCrossZoneBatch() []cbor.RawMessage {
	var batch []cbor.RawMessage
	budget := recordBudgetBytes
	for len(n.crossZoneQueue) > 0 {
		r := n.crossZoneQueue[0]
		if len(batch) > 0 && len(r.encoded()) > budget {
			break
		}
		budget -= len(r.encoded())
		batch = append(batch, r.encoded())
		r.inCrossZoneQueue = false
		n.crossZoneQueue = n.crossZoneQueue[1:]
	}
	return batch
}

// zoneHeartbeats returns the heartbeat counters of all zones.
func (n *Node) zoneHeartbeats() []zoneHeartbeat {
	heartbeats := make([]zoneHeartbeat, 0, len(n.zones))
	for _, z := range n.zones {
		heartbeats = append(heartbeats, zoneHeartbeat{ZoneKey: z.key, Counter: z.heartbeatCounter})
	}
	return heartbeats
}

// renewZoneLeases renews the lease of each zone whose heartbeat counter has
// increased. A lost zone returns only after heartbeatsToRestoreZone increases.
// Otherwise an unstable link would make the status of its members flap.
func (n *Node) renewZoneLeases(now time.Time, heartbeats []zoneHeartbeat, out *Output) {
	for _, heartbeat := range heartbeats {
		z := n.zoneByKey(heartbeat.ZoneKey)
		if z == nil || heartbeat.Counter <= z.heartbeatCounter || heartbeat.Counter > maxVersion {
			continue
		}
		z.heartbeatCounter, z.leaseRenewedAt = heartbeat.Counter, now
		if !z.lost {
			continue
		}
		z.heartbeatsSinceLost++
		if z.heartbeatsSinceLost >= heartbeatsToRestoreZone {
			z.lost = false
			n.changeCount++
			out.Events = append(out.Events, Event{Kind: ZoneReturned, Zone: z.id, Reason: "its stamp advances again"})
		}
	}
}

// expireLeases marks each zone as lost if its lease has expired, and evicts expired
// records. It runs once per second.
func (n *Node) expireLeases(now time.Time, out *Output) {
	if now.Before(n.nextExpiryCheckAt) {
		return
	}
	n.nextExpiryCheckAt = now.Add(time.Second)
	for _, z := range n.zones {
		if z == n.self.zone {
			continue
		}
		if len(z.activeMembers) == 0 {
			// The lease of an empty zone starts with its first member.
			z.leaseRenewedAt = now
		}
		if !z.lost && len(z.activeMembers) > 0 && now.Sub(z.leaseRenewedAt) > LeaseDuration {
			z.lost, z.heartbeatsSinceLost = true, 0
			n.changeCount++
			out.Events = append(out.Events, Event{Kind: ZoneLost, Zone: z.id, Reason: "lease expired"})
		}
	}
	n.evictExpiredRecords(now, out)
}

// evictExpiredRecords evicts records of failed and departed members that have not
// changed for tombstoneRetention. It evicts all records of a zone that has been
// lost for longer than that. Each call covers one bucket of each zone.
func (n *Node) evictExpiredRecords(now time.Time, out *Output) {
	n.lastEvictionBucket = (n.lastEvictionBucket + 1) % bucketCount
	for _, z := range n.zones {
		zoneExpired := z.lost && now.Sub(z.leaseRenewedAt) > tombstoneRetention
		var expired []*memberRecord
		for _, r := range z.buckets[n.lastEvictionBucket] {
			if r != n.self && (zoneExpired || !r.isActive() && now.Sub(r.changedAt) > tombstoneRetention) {
				expired = append(expired, r)
			}
		}
		for _, r := range expired {
			n.removeFromZone(r)
			delete(n.records, r.hash)
			n.changeCount++
			n.appendEvent(out, Evicted, r, "no sign of life for the retention period")
		}
	}
}
