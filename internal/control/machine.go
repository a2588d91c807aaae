package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// recentBytes bounds the accepted changes kept for deltas. Rules take about
	// 200 bytes, so that this covers some thousands of revisions.
	recentBytes = 1 << 20
	// minMachineBytes is less than any VM takes in the JSON of the state: the
	// names of its fields alone take 66.
	minMachineBytes = 64
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
	// snapshot returns the state for subscribers in JSON, encoded once for all
	// of them.
	snapshot func() (json.RawMessage, error)
}

// update is controlapi.IntentUpdate with a snapshot that is already encoded.
type update struct {
	FromRevision uint64          `json:"from_revision"`
	ToRevision   uint64          `json:"to_revision"`
	Changes      []intent.Change `json:"changes,omitempty"`
	Snapshot     json.RawMessage `json:"snapshot,omitempty"`
}

func newMachine(s stored) *machine {
	m := &machine{stored: s}
	for _, a := range s.Recent {
		m.recentSize += a.Size
	}
	m.snapshot = sync.OnceValues(func() (json.RawMessage, error) { return json.Marshal(m.State.WithoutRecords()) })
	return m
}

// apply decides one committed command. A command that cannot be decoded was
// written by a newer version; it changes nothing here, and the replica must not
// go on with a state that differs from the others.
func (m *machine) apply(command []byte) (*machine, intent.Result, error) {
	var change intent.Change
	if err := json.Unmarshal(command, &change); err != nil {
		return nil, intent.Result{}, fmt.Errorf("decode committed change: %w", err)
	}
	state, result := intent.Apply(m.State, change)
	next := stored{State: state, Recent: m.Recent}
	if state.Revision > m.State.Revision {
		next.Recent = appendRecent(m.Recent, accepted{Change: change, Size: len(command)}, m.recentSize)
	}
	return newMachine(next), result, nil
}

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
func (m *machine) update(from uint64) (update, error) {
	u := update{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return u, nil
	}
	changes, size, ok := m.delta(from)
	// Encoding a large state takes some 10 ms, which a small delta must not wait for.
	if ok && size <= minMachineBytes*len(m.State.VMs) {
		u.Changes = changes
		return u, nil
	}
	snapshot, err := m.whole(from)
	if err == nil && ok && size <= len(snapshot.Snapshot) {
		u.Changes = changes
		return u, nil
	}
	return snapshot, err
}

// whole returns the state as an update, whatever its size.
func (m *machine) whole(from uint64) (update, error) {
	u := update{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return u, nil
	}
	snapshot, err := m.snapshot()
	if err != nil {
		return update{}, fmt.Errorf("encode state: %w", err)
	}
	u.Snapshot = snapshot
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
