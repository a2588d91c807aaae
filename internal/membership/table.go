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

// bucketBytes is how much of the digest of a bucket is sent.
const bucketBytes = 4

// zoneState is what is known about one zone.
type zoneState struct {
	id      zone.ID
	key     uint32
	buckets [bucketCount][]*record
	sums    [bucketCount]uint64
	live    []*record

	// stamp is the highest sign of life, stampAt when it last advanced here.
	stamp    uint64
	stampAt  time.Time
	lost     bool
	advances int

	delegates      []*record
	delegatesStale bool
}

func zoneKey(id zone.ID) uint32 { return uint32(xxhash.Sum64String(id.String())) }

func bucketOf(hash uint64) int { return int(hash >> 58) }

// sum returns the digest of the zone.
func (z *zoneState) sum() uint64 {
	var sum uint64
	for i, s := range z.sums {
		// The bucket number is mixed in so that equal buckets do not cancel.
		sum ^= s * (2*uint64(i) + 1)
	}
	return sum
}

func (z *zoneState) bucketDigests() []byte {
	b := make([]byte, 0, bucketCount*bucketBytes)
	for _, s := range z.sums {
		b = binary.BigEndian.AppendUint32(b, uint32(s))
	}
	return b
}

// zoneByKey returns a known zone, or nil.
func (n *Node) zoneByKey(key uint32) *zoneState {
	for _, z := range n.zones {
		if z.key == key {
			return z
		}
	}
	return nil
}

// zoneOf returns the state of a zone and adds it if it is new.
func (n *Node) zoneOf(now time.Time, id zone.ID) *zoneState {
	key := zoneKey(id)
	if z := n.zoneByKey(key); z != nil {
		return z
	}
	z := &zoneState{id: id, key: key, stampAt: now, delegatesStale: true}
	n.zones = append(n.zones, z)
	slices.SortFunc(n.zones, func(a, b *zoneState) int { return int(int64(a.key) - int64(b.key)) })
	return z
}

// link adds a record to the indexes of its zone.
func (n *Node) link(now time.Time, r *record) {
	z := n.zoneOf(now, r.member.Zone)
	r.zone, r.index = z, -1
	b := bucketOf(r.hash)
	z.buckets[b] = append(z.buckets[b], r)
	z.sums[b] ^= r.digest()
	z.delegatesStale = true
	if r.live() {
		r.index = len(z.live)
		z.live = append(z.live, r)
	}
}

// unlink removes a record from the indexes of its zone.
func (n *Node) unlink(r *record) {
	z := r.zone
	b := bucketOf(r.hash)
	z.sums[b] ^= r.digest()
	z.buckets[b] = slices.DeleteFunc(z.buckets[b], func(x *record) bool { return x == r })
	z.delegatesStale = true
	if r.index >= 0 {
		last := len(z.live) - 1
		z.live[r.index] = z.live[last]
		z.live[r.index].index = r.index
		z.live = z.live[:last]
	}
}

// change edits a linked record and renews everything derived from it.
func (n *Node) change(now time.Time, r *record, edit func()) {
	n.unlink(r)
	edit()
	r.encoded = nil
	r.changedAt = now
	n.link(now, r)
	n.changes++
}

// delegatesOf returns the first members in the ranking for the zone. Suspected
// members are passed over, and ready ones come first; among them balancers,
// because agents spend most of their control budget on load updates.
func (n *Node) delegatesOf(z *zoneState) []*record {
	if !z.delegatesStale {
		return z.delegates
	}
	z.delegatesStale = false
	isAlive := func(r *record) bool { return r.verdict == alive }
	isReady := func(r *record) bool { return r.verdict == alive && r.member.Status == view.Ready }
	isBalancer := func(r *record) bool { return isReady(r) && r.member.Role == vm.RoleBalancer }
	z.delegates = nil
	for _, eligible := range []func(*record) bool{isBalancer, isReady, isAlive} {
		z.delegates = rankDelegates(z, z.delegates, eligible)
	}
	return z.delegates
}

// rankDelegates fills up the chosen ones with eligible members.
func rankDelegates(z *zoneState, chosen []*record, eligible func(*record) bool) []*record {
	if len(chosen) == delegatesPer {
		return chosen
	}
	var candidates []*record
	var hashes []uint64
	for _, r := range z.live {
		if eligible(r) && !slices.Contains(chosen, r) {
			candidates = append(candidates, r)
			hashes = append(hashes, r.hash)
		}
	}
	for len(chosen) < delegatesPer && len(hashes) > 0 {
		i := ranking.FirstUnweighted(uint64(z.key), hashes, 0)
		chosen = append(chosen, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
		hashes = slices.Delete(hashes, i, i+1)
	}
	return chosen
}

// delegateRank returns the own position among the delegates of the own zone,
// or -1.
func (n *Node) delegateRank() int { return slices.Index(n.delegatesOf(n.self.zone), n.self) }
