package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/view"
)

// verdict is what the observers of a member agree on.
type verdict uint8

const (
	alive verdict = iota
	suspected
	failed
	// gone marks in summaries a member that has left.
	gone
)

// record is what is known about one member.
type record struct {
	member  view.Member
	hash    uint64
	verdict verdict
	// observers are the member hashes of those who agree on the verdict.
	observers [2]uint64
	// changedAt is when the verdict or the announcement last changed here.
	changedAt time.Time
	// heardAt is when a message of the member last arrived here.
	heardAt time.Time
	encoded cbor.RawMessage
	zone    *zoneState
	// index is the position in zone.live, or -1.
	index int
	// sends counts how often the current content was sent; it is the level of
	// the record in the queue.
	sends  int
	queued bool
	// crossQueued: waits to be sent to other zones.
	crossQueued bool
}

// live reports whether the member takes part in probes and gossip.
func (r *record) live() bool { return r.verdict != failed && r.member.Status != view.Left }

func (r *record) summary() summary {
	s := summary{Hash: r.hash, Incarnation: uint64(r.member.Incarnation), Version: r.member.Version, Verdict: r.verdict}
	if r.member.Status == view.Left {
		s.Verdict = gone
	}
	return s
}

// order compares two positions of one member: incarnation, version, verdict.
func order(a, b summary) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Verdict, b.Verdict),
	)
}

// agreed reports whether the verdict names two different observers, neither
// of them the member itself.
func (r *record) agreed() bool {
	a, b := r.observers[0], r.observers[1]
	return a != 0 && b != 0 && a != b && a != r.hash && b != r.hash
}

// status returns the status that others see.
func (r *record) status() view.Status {
	switch {
	case r.member.Status == view.Left:
		return view.Left
	case r.verdict == failed || r.zone.lost:
		return view.Failed
	case r.verdict == suspected:
		return view.Suspected
	}
	return r.member.Status
}

// wire returns the encoded record, which is kept until the record changes.
func (r *record) wire() cbor.RawMessage {
	if r.encoded == nil {
		r.encoded = encodeRecord(r)
	}
	return r.encoded
}

// digest returns what the record adds to the digest of its bucket. Failed and
// left records add nothing, because nodes forget them at different times.
func (r *record) digest() uint64 {
	if !r.live() {
		return 0
	}
	var b [8 * 4]byte
	s := r.summary()
	for i, v := range [4]uint64{s.Hash, s.Incarnation, s.Version, uint64(s.Verdict)} {
		for j := range 8 {
			b[8*i+j] = byte(v >> (8 * j))
		}
	}
	return xxhash.Sum64(b[:])
}
