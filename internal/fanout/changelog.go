package fanout

import (
	"encoding/json"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// changeLog holds the latest state and the most recent changes that led to it.
type changeLog struct {
	state *intent.State
	// replay is Config.Replay.
	replay      func(*intent.State, intent.Change) (*intent.State, error)
	changes     []sizedChange
	changeBytes int
	// cachedSnapshotBytes is the encoded size of the state at
	// cachedSnapshotRevision.
	cachedSnapshotRevision uint64
	cachedSnapshotBytes    int
}

type sizedChange struct {
	change intent.Change
	bytes  int
}

// appendChange adds a committed change and sets the state that results from it. The
// encoded size of the change is computed if bytes is 0.
func (l *changeLog) appendChange(state *intent.State, change intent.Change, bytes int) {
	l.state = state
	if bytes == 0 {
		bytes = encodedSize(change)
	}
	entry := sizedChange{change: change, bytes: bytes}
	l.changes = append(l.changes, entry)
	l.changeBytes += entry.bytes
	for len(l.changes) > 1 && (len(l.changes) > maxLoggedChanges || l.changeBytes > maxLoggedBytes) {
		l.changeBytes -= l.changes[0].bytes
		l.changes = l.changes[1:]
	}
}

// resetToSnapshot sets the state and clears the log, because the changes before a
// snapshot are not available.
func (l *changeLog) resetToSnapshot(state *intent.State) {
	l.state, l.changes, l.changeBytes = state, nil, 0
}

// updateSince returns an update from a revision to the latest one. It contains the
// changes if they are in the log and not larger than the snapshot, else the
// snapshot. Changes of at most maxUnannouncedBytes are not compared, because the
// comparison encodes the state.
func (l *changeLog) updateSince(revision uint64) Message {
	latest := l.state.Revision
	oldest := latest - uint64(len(l.changes))
	if revision >= oldest && revision <= latest {
		delta := l.deltaUpdate(revision - oldest)
		if delta.UpdateBytes <= maxUnannouncedBytes || delta.UpdateBytes <= l.snapshotBytes() {
			delta.Update.FromRevision = revision
			return delta
		}
	}
	return Message{Kind: Update, Revision: latest, UpdateBytes: l.snapshotBytes(), Update: &controlapi.IntentUpdate{
		FromRevision: revision, ToRevision: latest, Snapshot: withoutControlData(l.state),
	}}
}

// deltaUpdate returns an update with all changes in the log except the first skip.
func (l *changeLog) deltaUpdate(skip uint64) Message {
	message := Message{Kind: Update, Revision: l.state.Revision, Update: &controlapi.IntentUpdate{ToRevision: l.state.Revision}}
	for _, entry := range l.changes[skip:] {
		message.Update.Changes = append(message.Update.Changes, entry.change)
		message.UpdateBytes += entry.bytes
	}
	return message
}

// snapshotBytes returns the encoded size of the current state.
func (l *changeLog) snapshotBytes() int {
	if l.cachedSnapshotRevision != l.state.Revision || l.cachedSnapshotBytes == 0 {
		l.cachedSnapshotRevision, l.cachedSnapshotBytes = l.state.Revision, encodedSize(withoutControlData(l.state))
	}
	return l.cachedSnapshotBytes
}

// withoutControlData returns a copy of the state without the results of operations
// and the history. Only control replicas need these.
func withoutControlData(state *intent.State) *intent.State {
	reduced := *state
	reduced.Operations, reduced.History = nil, nil
	return &reduced
}

func encodedSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		// Unreachable: all intent types can be encoded.
		panic(err)
	}
	return len(b)
}

// applyUpdate applies an update to the state. It returns false if the update cannot
// be applied, for example because its changes start after the current revision.
// Updates that are not newer are ignored.
func (l *changeLog) applyUpdate(message *Message) (applied bool) {
	update := message.Update
	current := l.state.Revision
	switch {
	case update.ToRevision <= current:
		return true
	case update.Snapshot != nil && update.Snapshot.Revision == update.ToRevision:
		l.resetToSnapshot(update.Snapshot)
		return true
	case update.FromRevision > current || update.FromRevision+uint64(len(update.Changes)) != update.ToRevision:
		return false
	}
	changeBytes := 0
	if len(update.Changes) == 1 {
		changeBytes = message.UpdateBytes
	}
	for _, change := range update.Changes[current-update.FromRevision:] {
		next, err := l.replay(l.state, change)
		if err != nil {
			return false
		}
		l.appendChange(next, change, changeBytes)
	}
	return true
}
