package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// bucketDigestBytes is the length of a bucket digest in a message: the low bytes of
// the bucket hash.
const bucketDigestBytes = 4

// zoneState indexes the records of one zone and holds its lease.
type zoneState struct {
	id            zone.ID
	key           uint32
	buckets       [bucketCount][]*memberRecord
	bucketHashes  [bucketCount]uint64
	activeMembers []*memberRecord

	// heartbeatCounter is the highest received counter of the zone. It last
	// advanced at leaseRenewedAt.
	heartbeatCounter    uint64
	leaseRenewedAt      time.Time
	lost                bool
	heartbeatsSinceLost int

	delegates      []*memberRecord
	delegatesStale bool
}

func zoneKey(id zone.ID) uint32 { return uint32(xxhash.Sum64String(id.String())) }

func bucketIndex(hash uint64) int { return int(hash >> 58) }

// digest combines the hashes of all buckets of the zone.
func (z *zoneState) digest() uint64 {
	var digest uint64
	for bucket, hash := range z.bucketHashes {
		// The bucket number is mixed in so that equal hashes do not cancel out.
		digest ^= hash * (2*uint64(bucket) + 1)
	}
	return digest
}

func (z *zoneState) encodedBucketDigests() []byte {
	encoded := make([]byte, 0, bucketCount*bucketDigestBytes)
	for _, hash := range z.bucketHashes {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(hash))
	}
	return encoded
}

// zoneByKey returns the zone with the key, or nil.
func (n *Node) zoneByKey(key uint32) *zoneState {
	for _, z := range n.zones {
		if z.key == key {
			return z
		}
	}
	return nil
}

// findOrAddZone returns the state of a zone. It adds the zone if it is new.
func (n *Node) findOrAddZone(now time.Time, id zone.ID) *zoneState {
	key := zoneKey(id)
	if z := n.zoneByKey(key); z != nil {
		return z
	}
	z := &zoneState{id: id, key: key, leaseRenewedAt: now, delegatesStale: true}
	n.zones = append(n.zones, z)
	slices.SortFunc(n.zones, func(a, b *zoneState) int { return int(int64(a.key) - int64(b.key)) })
	return z
}

// addToZone adds a record to the indexes of its zone.
func (n *Node) addToZone(now time.Time, r *memberRecord) {
	z := n.findOrAddZone(now, r.member.Zone)
	r.zone, r.activeIndex = z, -1
	bucket := bucketIndex(r.hash)
	z.buckets[bucket] = append(z.buckets[bucket], r)
	z.bucketHashes[bucket] ^= r.contentHash()
	z.delegatesStale = true
	if r.isActive() {
		r.activeIndex = len(z.activeMembers)
		z.activeMembers = append(z.activeMembers, r)
	}
}

// removeFromZone removes a record from the indexes of its zone.
func (n *Node) removeFromZone(r *memberRecord) {
	z := r.zone
	bucket := bucketIndex(r.hash)
	z.bucketHashes[bucket] ^= r.contentHash()
	z.buckets[bucket] = slices.DeleteFunc(z.buckets[bucket], func(x *memberRecord) bool { return x == r })
	z.delegatesStale = true
	if r.activeIndex >= 0 {
		last := len(z.activeMembers) - 1
		z.activeMembers[r.activeIndex] = z.activeMembers[last]
		z.activeMembers[r.activeIndex].activeIndex = r.activeIndex
		z.activeMembers = z.activeMembers[:last]
	}
}

// updateRecord edits an indexed record and updates the indexes and caches that are
// derived from it.
func (n *Node) updateRecord(now time.Time, r *memberRecord, edit func()) {
	n.removeFromZone(r)
	edit()
	r.cachedEncoding = nil
	r.changedAt = now
	n.addToZone(now, r)
	n.changeCount++
}

// zoneDelegates returns the delegates of a zone, ranked by rendezvous hashing.
// Suspected members are not eligible. Ready balancers come first, then other
// ready members, then the rest. Balancers are preferred because agents spend most
// of their control budget on load updates.
func (n *Node) zoneDelegates(z *zoneState) []*memberRecord {
	if !z.delegatesStale {
		return z.delegates
	}
	z.delegatesStale = false
	isAlive := func(r *memberRecord) bool { return r.liveness == alive }
	isReady := func(r *memberRecord) bool { return r.liveness == alive && r.member.Status == view.Ready }
	isBalancer := func(r *memberRecord) bool { return isReady(r) && r.member.Role == vm.RoleBalancer }
	z.delegates = nil
	for _, eligible := range []func(*memberRecord) bool{isBalancer, isReady, isAlive} {
		z.delegates = appendDelegates(z, z.delegates, eligible)
	}
	return z.delegates
}

// appendDelegates appends eligible members in ranking order until the zone has
// delegatesPerZone delegates.
func appendDelegates(z *zoneState, delegates []*memberRecord, eligible func(*memberRecord) bool) []*memberRecord {
	if len(delegates) == delegatesPerZone {
		return delegates
	}
	var candidates []*memberRecord
	var hashes []uint64
	for _, r := range z.activeMembers {
		if eligible(r) && !slices.Contains(delegates, r) {
			candidates = append(candidates, r)
			hashes = append(hashes, r.hash)
		}
	}
	for len(delegates) < delegatesPerZone && len(hashes) > 0 {
		first := ranking.FirstUnweighted(uint64(z.key), hashes, 0)
		delegates = append(delegates, candidates[first])
		candidates = slices.Delete(candidates, first, first+1)
		hashes = slices.Delete(hashes, first, first+1)
	}
	return delegates
}

// ownDelegateRank returns the rank of the local process among the delegates of its
// zone, or -1 if it is not a delegate.
func (n *Node) ownDelegateRank() int { return slices.Index(n.zoneDelegates(n.self.zone), n.self) }
