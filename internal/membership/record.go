package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/view"
)

// liveness is the state of a member as its observers report it.
type liveness uint8

const (
	alive liveness = iota
	suspected
	failed
	// departed stands for a member that has left. It occurs only in a
	// recordVersion.
	departed
)

// memberRecord holds the latest announcement of a member, its liveness and its
// position in the local indexes and queues.
type memberRecord struct {
	member   view.Member
	hash     uint64
	liveness liveness
	// observers are the hashes of the two members that reported the liveness.
	observers [2]uint64
	// changedAt is the local time of the last change of announcement or liveness.
	changedAt time.Time
	// lastReceivedAt is when the last message from the member arrived.
	lastReceivedAt time.Time
	cachedEncoding cbor.RawMessage
	zone           *zoneState
	// activeIndex is the position in zone.activeMembers, or -1.
	activeIndex int
	// transmits counts how often the current content was gossiped. It selects the
	// queue in gossipQueue.byTransmits.
	transmits        int
	inGossipQueue    bool
	inCrossZoneQueue bool
}

// isActive reports whether the member is probed and receives gossip.
func (r *memberRecord) isActive() bool { return r.liveness != failed && r.member.Status != view.Left }

// version returns the key by which records of the member are ordered.
func (r *memberRecord) version() recordVersion {
	v := recordVersion{Hash: r.hash, Incarnation: uint64(r.member.Incarnation), Version: r.member.Version, Liveness: r.liveness}
	if r.member.Status == view.Left {
		v.Liveness = departed
	}
	return v
}

// compareVersions orders two records of one member by incarnation, then version,
// then liveness.
func compareVersions(a, b recordVersion) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Liveness, b.Liveness),
	)
}

// hasTwoObservers reports whether the record names two different observers.
// The member itself does not count as an observer.
func (r *memberRecord) hasTwoObservers() bool {
	first, second := r.observers[0], r.observers[1]
	return first != 0 && second != 0 && first != second && first != r.hash && second != r.hash
}

// effectiveStatus combines the announced status with the liveness of the member
// and of its zone.
func (r *memberRecord) effectiveStatus() view.Status {
	switch {
	case r.member.Status == view.Left:
		return view.Left
	case r.liveness == failed || r.zone.lost:
		return view.Failed
	case r.liveness == suspected:
		return view.Suspected
	}
	return r.member.Status
}

// encoded returns the encoded record. The encoding is cached until the record
// changes.
func (r *memberRecord) encoded() cbor.RawMessage {
	if r.cachedEncoding == nil {
		r.cachedEncoding = encodeRecord(r)
	}
	return r.cachedEncoding
}

// contentHash returns the hash that is combined into the hash of the bucket. It is
// 0 for failed and departed members, because nodes evict their records at
// different times.
func (r *memberRecord) contentHash() uint64 {
	if !r.isActive() {
		return 0
	}
	var input [8 * 4]byte
	version := r.version()
	for i, field := range [4]uint64{version.Hash, version.Incarnation, version.Version, uint64(version.Liveness)} {
		for j := range 8 {
			input[8*i+j] = byte(field >> (8 * j))
		}
	}
	return xxhash.Sum64(input[:])
}
