package fanout

import (
	"encoding/json"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// history keeps the latest state and the changes that led to it.
type history struct {
	state *intent.State
	// replay is intent.Replay or its replacement.
	replay  func(*intent.State, intent.Change) (*intent.State, error)
	changes []sizedChange
	bytes   int
	// snapshot caches the size of the state at a revision.
	snapshotRevision uint64
	snapshotBytes    int
}

type sizedChange struct {
	change intent.Change
	bytes  int
}

// append records an accepted change of an encoded size, or 0 if it is not
// known, that led to the state.
func (h *history) append(state *intent.State, c intent.Change, bytes int) {
	h.state = state
	if bytes == 0 {
		bytes = encodedSize(c)
	}
	item := sizedChange{change: c, bytes: bytes}
	h.changes = append(h.changes, item)
	h.bytes += item.bytes
	for len(h.changes) > 1 && (len(h.changes) > keptChanges || h.bytes > keptBytes) {
		h.bytes -= h.changes[0].bytes
		h.changes = h.changes[1:]
	}
}

// replace takes a snapshot; the changes before it are not known.
func (h *history) replace(state *intent.State) {
	h.state, h.changes, h.bytes = state, nil, 0
}

// since returns the update from a revision to the latest one: the changes if
// they are kept and smaller than the state, else the state. Small changes are
// not compared, because that encodes the state.
func (h *history) since(revision uint64) Message {
	latest := h.state.Revision
	oldest := latest - uint64(len(h.changes))
	if revision >= oldest && revision <= latest {
		delta := h.delta(revision - oldest)
		if delta.Bytes <= offerBytes || delta.Bytes <= h.stateBytes() {
			delta.Update.FromRevision = revision
			return delta
		}
	}
	return Message{Kind: Update, Revision: latest, Bytes: h.stateBytes(), Update: &controlapi.IntentUpdate{
		FromRevision: revision, ToRevision: latest, Snapshot: forNodes(h.state),
	}}
}

func (h *history) delta(skip uint64) Message {
	m := Message{Kind: Update, Revision: h.state.Revision, Update: &controlapi.IntentUpdate{ToRevision: h.state.Revision}}
	for _, item := range h.changes[skip:] {
		m.Update.Changes = append(m.Update.Changes, item.change)
		m.Bytes += item.bytes
	}
	return m
}

func (h *history) stateBytes() int {
	if h.snapshotRevision != h.state.Revision || h.snapshotBytes == 0 {
		h.snapshotRevision, h.snapshotBytes = h.state.Revision, encodedSize(forNodes(h.state))
	}
	return h.snapshotBytes
}

// forNodes leaves out what only control replicas need: the answers to
// operations and the history rows.
func forNodes(s *intent.State) *intent.State {
	c := *s
	c.Operations, c.History = nil, nil
	return &c
}

func encodedSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		// Intent types contain nothing that cannot be encoded.
		panic(err)
	}
	return len(b)
}

// apply brings the state to the end of an update. It returns false if the
// update does not continue the own revision; older ones are ignored.
func (h *history) apply(m *Message) (ok bool) {
	u := m.Update
	own := h.state.Revision
	switch {
	case u.ToRevision <= own:
		return true
	case u.Snapshot != nil && u.Snapshot.Revision == u.ToRevision:
		h.replace(u.Snapshot)
		return true
	case u.FromRevision > own || u.FromRevision+uint64(len(u.Changes)) != u.ToRevision:
		return false
	}
	size := 0
	if len(u.Changes) == 1 {
		size = m.Bytes
	}
	for _, c := range u.Changes[own-u.FromRevision:] {
		next, err := h.replay(h.state, c)
		if err != nil {
			return false
		}
		h.append(next, c, size)
	}
	return true
}
