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
	// maxRecentBytes bounds the accepted changes that are kept for deltas.
	// Rules take about 200 bytes, so that the limit covers some thousands of
	// revisions.
	maxRecentBytes = 1 << 20
	// maxPlainBytes is the size up to which changes are sent uncompressed and
	// without comparing them with the state. Compressing the state takes some
	// 10 ms, which would delay the usual update of one rule.
	maxPlainBytes = 1 << 10
	// maxSnapshotBytes bounds the decompressed size of a snapshot or a
	// command.
	maxSnapshotBytes = 256 << 20
)

// acceptedChange is a change that made a revision, with the size of its log
// entry.
type acceptedChange struct {
	Change intent.Change `json:"change"`
	Size   int           `json:"size"`
}

// snapshotContent is the content of a Raft snapshot. RecentChanges are those
// that led to the current revision, oldest first.
type snapshotContent struct {
	State         *intent.State    `json:"state"`
	RecentChanges []acceptedChange `json:"recent"`
}

// stateMachine is the replicated state. Values are immutable: apply returns a
// new one.
type stateMachine struct {
	snapshotContent
	// recentBytes is the total size of RecentChanges.
	recentBytes int
	// packedState returns the compressed state for subscribers. It is encoded
	// once for all of them.
	packedState func() ([]byte, error)
}

func newStateMachine(content snapshotContent) *stateMachine {
	m := &stateMachine{snapshotContent: content}
	for _, change := range content.RecentChanges {
		m.recentBytes += change.Size
	}
	m.packedState = sync.OnceValues(controlapi.UpdateContent{Snapshot: content.State.WithoutHistory()}.Pack)
	return m
}

// apply applies a committed command. It returns the next state machine and the
// result of the change. A command that cannot be decoded was written by a
// newer build. Skipping it would make this state differ from that of other
// replicas, so the replica stops with the error.
func (m *stateMachine) apply(command []byte) (*stateMachine, intent.Result, error) {
	change, err := decodeCommand(command)
	if err != nil {
		return nil, intent.Result{}, fmt.Errorf("decode committed command: %w", err)
	}
	next, result := m.applyChange(change, len(command))
	return next, result, nil
}

// applyChange applies a change whose command has the given size.
func (m *stateMachine) applyChange(change intent.Change, size int) (*stateMachine, intent.Result) {
	state, result := intent.Apply(m.State, change)
	content := snapshotContent{State: state, RecentChanges: m.RecentChanges}
	switch {
	case state.Revision == m.State.Revision:
	case change.HasNoBaseRevision():
		// Nodes get the state in a snapshot, since a delta of such changes has no order.
		content.RecentChanges = nil
	default:
		content.RecentChanges = appendRecentChange(m.RecentChanges, acceptedChange{Change: change, Size: size}, m.recentBytes)
	}
	return newStateMachine(content), result
}

// encodeCommand returns the content of a log entry. Changes above
// maxPlainBytes are compressed, so that they fit into one message between
// replicas.
func encodeCommand(change intent.Change) ([]byte, error) {
	plain, err := json.Marshal(change)
	if err != nil || len(plain) <= maxPlainBytes {
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

// decodeCommand decodes the content of a log entry, compressed or not.
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

// gzipMagic is the prefix of every gzip stream. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// appendRecentChange adds a change and drops the oldest ones beyond
// maxRecentBytes. If the new change alone exceeds the limit, none is kept, and
// subscribers get a snapshot.
func appendRecentChange(recent []acceptedChange, change acceptedChange, size int) []acceptedChange {
	size += change.Size
	recent = append(recent, change)
	for size > maxRecentBytes {
		size -= recent[0].Size
		recent = recent[1:]
	}
	return recent
}

// updateFrom returns the update of a subscriber from the given revision to the
// current one. It has either the changes or the whole state, whichever is
// smaller.
func (m *stateMachine) updateFrom(from uint64) (controlapi.PackedUpdate, error) {
	update := controlapi.PackedUpdate{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return update, nil
	}
	changes, size, ok := m.changesSince(from)
	if ok && size <= maxPlainBytes {
		update.Changes = changes
		return update, nil
	}
	var err error
	if update.Packed, err = m.packedState(); err != nil || !ok {
		return update, err
	}
	packedChanges, err := controlapi.UpdateContent{Changes: changes}.Pack()
	if len(packedChanges) <= len(update.Packed) {
		update.Packed = packedChanges
	}
	return update, err
}

// snapshotUpdate returns an update with the whole state, even if the changes
// would be smaller.
func (m *stateMachine) snapshotUpdate(from uint64) (controlapi.PackedUpdate, error) {
	update := controlapi.PackedUpdate{FromRevision: from, ToRevision: max(from, m.State.Revision)}
	if from >= m.State.Revision {
		return update, nil
	}
	var err error
	if update.Packed, err = m.packedState(); err != nil {
		return controlapi.PackedUpdate{}, fmt.Errorf("encode state: %w", err)
	}
	return update, nil
}

// changesSince returns the changes after a revision and their total size. It
// returns false if some of them are no longer kept.
func (m *stateMachine) changesSince(from uint64) (changes []intent.Change, size int, ok bool) {
	missing := m.State.Revision - from
	if missing > uint64(len(m.RecentChanges)) {
		return nil, 0, false
	}
	for _, accepted := range m.RecentChanges[uint64(len(m.RecentChanges))-missing:] {
		changes = append(changes, accepted.Change)
		size += accepted.Size
	}
	return changes, size, true
}

// encodeSnapshot returns the compressed content of a Raft snapshot.
func (m *stateMachine) encodeSnapshot() ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(m.snapshotContent); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return buffer.Bytes(), nil
}

// decodeSnapshot restores a state machine from a Raft snapshot. Without data
// it returns the state before the first change.
func decodeSnapshot(data []byte) (*stateMachine, error) {
	content := snapshotContent{State: &intent.State{}}
	if len(data) == 0 {
		return newStateMachine(content), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&content); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return newStateMachine(content), nil
}
