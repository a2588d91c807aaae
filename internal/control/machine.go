package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// recentBytes bounds the accepted changes kept for deltas. Rules take about
	// 200 bytes, so that this covers some thousands of revisions.
	recentBytes = 1 << 20
	// packAbove is the size up to which changes are sent as they are, without
	// a comparison with the state: packing the state takes some 10 ms, which
	// the usual update of one rule must not wait for.
	packAbove = 1 << 10
	// maxSnapshotBytes bounds the decompressed state of a snapshot.
	maxSnapshotBytes = 256 << 20
)

// accepted is a change that made a revision, with its size in JSON.
type accepted struct {
	Change intent.Change `json:"change"`
	Size   int           `json:"size"`
}

// stored is the content of a snapshot.
type stored struct {
	State  *intent.State `json:"state"`
	Recent []accepted    `json:"recent"`
}

// machine is the replicated state. Values are immutable; apply returns the
// next one.
type machine struct {
	stored
	recentSize int
	// snapshot returns the state for subscribers, encoded once for all of them.
	snapshot func() ([]byte, error)
}

func newMachine(s stored) *machine {
	m := &machine{stored: s}
	for _, a := range s.Recent {
		m.recentSize += a.Size
	}
	m.snapshot = sync.OnceValues(controlapi.UpdateContent{Snapshot: s.State.WithoutHistory()}.Pack)
	return m
}

// apply decides one committed command. A command that cannot be decoded was
// written by a newer version; it changes nothing here, and the replica must not
// go on with a state that differs from the others.
func (m *machine) apply(command []byte) (*machine, intent.Result, error) {
	change, err := decodeCommand(command)
	if err != nil {
		return nil, intent.Result{}, fmt.Errorf("decode committed change: %w", err)
	}
	state, result := intent.Apply(m.State, change)
	next := stored{State: state, Recent: m.Recent}
	switch {
	case state.Revision == m.State.Revision:
	case change.Kind == intent.KindDesired:
		// Nodes take a desired state as a whole, never as a delta.
		next.Recent = nil
	default:
		next.Recent = appendRecent(m.Recent, accepted{Change: change, Size: len(command)}, m.recentSize)
	}
	return newMachine(next), result, nil
}

// encodeCommand returns the content of a log entry. Large changes are
// compressed, so that they fit one message between replicas.
func encodeCommand(change intent.Change) ([]byte, error) {
	plain, err := json.Marshal(change)
	if err != nil || len(plain) <= packAbove {
		return plain, err
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodeCommand reads the content of a log entry, compressed or not.
func decodeCommand(command []byte) (change intent.Change, err error) {
	if bytes.HasPrefix(command, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(command))
		if err != nil {
			return change, err
		}
		err = json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&change)
		return change, err
	}
	err = json.Unmarshal(command, &change)
	return change, err
}

// gzipMagic starts every gzip stream; a JSON text never begins like this.
var gzipMagic = []byte{0x1f, 0x8b}

// appendRecent drops the oldest changes beyond the bound. The new change may
// exceed it alone; then none is kept, and subscribers get a snapshot.
func appendRecent(recent []accepted, a accepted, size int) []accepted {
	size += a.Size
	recent = append(recent, a)
	for size > recentBytes {
		size -= recent[0].Size
		recent = recent[1:]
	}
	return recent
}

// update returns what brings a subscriber from a revision to the current one:
// the changes or the whole state, whichever is smaller.
func (m *machine) update(from uint64) (controlapi.PackedUpdate, error) {
	u := controlapi.PackedUpdate{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return u, nil
	}
	changes, size, ok := m.delta(from)
	if ok && size <= packAbove {
		u.Changes = changes
		return u, nil
	}
	var err error
	if u.Packed, err = m.snapshot(); err != nil || !ok {
		return u, err
	}
	delta, err := controlapi.UpdateContent{Changes: changes}.Pack()
	if len(delta) <= len(u.Packed) {
		u.Packed = delta
	}
	return u, err
}

// whole returns the state as an update, whatever its size.
func (m *machine) whole(from uint64) (controlapi.PackedUpdate, error) {
	u := controlapi.PackedUpdate{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return u, nil
	}
	var err error
	if u.Packed, err = m.snapshot(); err != nil {
		return controlapi.PackedUpdate{}, fmt.Errorf("encode state: %w", err)
	}
	return u, nil
}

func (m *machine) delta(from uint64) (changes []intent.Change, size int, ok bool) {
	missing := m.State.Revision - from
	if missing > uint64(len(m.Recent)) {
		return nil, 0, false
	}
	for _, a := range m.Recent[uint64(len(m.Recent))-missing:] {
		changes = append(changes, a.Change)
		size += a.Size
	}
	return changes, size, true
}

// encode returns the compressed content of a snapshot.
func (m *machine) encode() ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(m.stored); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return buffer.Bytes(), nil
}

// decodeMachine reads the content of a snapshot. No content is the state
// before the first change.
func decodeMachine(data []byte) (*machine, error) {
	s := stored{State: &intent.State{}}
	if len(data) == 0 {
		return newMachine(s), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return newMachine(s), nil
}
