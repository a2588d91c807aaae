package consensus

import "slices"

// raftLog holds the snapshot and the entries after it.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// configurationEntries holds the configuration entries after the snapshot.
	configurationEntries []Entry
	commitIndex          uint64
	// deliveredIndex is the last index returned in Output.Committed.
	deliveredIndex uint64
	// persistRequestedIndex is the last index returned in Output.Entries.
	// persistedIndex is the last index that Persisted has confirmed.
	persistRequestedIndex uint64
	persistedIndex        uint64
	// uncommittedBytes is the size of the data of all entries above the commit index.
	uncommittedBytes int
}

func newRaftLog(restored RestoredState) *raftLog {
	l := &raftLog{snapshot: restored.Snapshot}
	l.append(restored.Entries)
	l.persistRequestedIndex, l.persistedIndex = l.lastIndex(), l.lastIndex()
	l.deliveredIndex = l.snapshot.Index
	l.commitIndex = max(l.snapshot.Index, min(restored.HardState.CommitIndex, l.lastIndex()))
	l.recountUncommittedBytes()
	return l
}

func (l *raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term at an index. It returns false if the index is below the
// snapshot or above the last entry.
func (l *raftLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// matches reports whether the log has an entry with this index and term.
func (l *raftLog) matches(index, term uint64) bool {
	ownTerm, ok := l.termAt(index)
	return ok && ownTerm == term
}

// isUpToDate reports whether a candidate's log with the given last entry is at
// least as up to date as this log.
func (l *raftLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// entriesBetween returns a copy of the entries with an index in (after, through].
func (l *raftLog) entriesBetween(after, through uint64) []Entry {
	if after >= through {
		return nil
	}
	return slices.Clone(l.entries[after-l.snapshot.Index : through-l.snapshot.Index])
}

// nextBatch returns the entries after an index up to maxBytes of data. It returns
// at least one entry if there is one.
func (l *raftLog) nextBatch(after uint64, maxBytes int) []Entry {
	size := 0
	end := after
	for end < l.lastIndex() {
		size += len(l.entries[end-l.snapshot.Index].Data)
		if size > maxBytes && end > after {
			break
		}
		end++
	}
	return l.entriesBetween(after, end)
}

func (l *raftLog) append(entries []Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.uncommittedBytes += len(e.Data)
		if e.Kind == KindConfiguration && e.Configuration != nil {
			l.configurationEntries = append(l.configurationEntries, e)
		}
	}
}

// truncateAfter removes the entries after an index.
func (l *raftLog) truncateAfter(index uint64) {
	l.entries = l.entries[:index-l.snapshot.Index]
	l.configurationEntries = slices.DeleteFunc(l.configurationEntries, func(e Entry) bool { return e.Index > index })
	l.persistRequestedIndex = min(l.persistRequestedIndex, index)
	l.persistedIndex = min(l.persistedIndex, index)
	l.recountUncommittedBytes()
}

// latestConfiguration returns the latest configuration in the log and its index.
// A replica uses a configuration as soon as it is appended, before it is committed.
func (l *raftLog) latestConfiguration() (Configuration, uint64) {
	if n := len(l.configurationEntries); n > 0 {
		return *l.configurationEntries[n-1].Configuration, l.configurationEntries[n-1].Index
	}
	return l.snapshot.Configuration, l.snapshot.Index
}

// configurationAt returns the latest configuration at or before an index.
func (l *raftLog) configurationAt(index uint64) Configuration {
	for _, e := range slices.Backward(l.configurationEntries) {
		if e.Index <= index {
			return *e.Configuration
		}
	}
	return l.snapshot.Configuration
}

// compact replaces the entries up to the index of the snapshot by the snapshot.
// Later entries are kept only if the log has the last entry of the snapshot, with
// the same term.
func (l *raftLog) compact(snapshot Snapshot) {
	var kept []Entry
	if l.matches(snapshot.Index, snapshot.Term) {
		kept = l.entriesBetween(snapshot.Index, l.lastIndex())
	}
	l.snapshot, l.entries, l.configurationEntries = snapshot, nil, nil
	l.append(kept)
	l.commitIndex = max(l.commitIndex, snapshot.Index)
	l.deliveredIndex = max(l.deliveredIndex, snapshot.Index)
	// All kept entries are persisted again together with the snapshot.
	l.persistRequestedIndex, l.persistedIndex = snapshot.Index, snapshot.Index
	l.recountUncommittedBytes()
}

func (l *raftLog) recountUncommittedBytes() {
	l.uncommittedBytes = 0
	for _, e := range l.entries {
		if e.Index > l.commitIndex {
			l.uncommittedBytes += len(e.Data)
		}
	}
}

func (l *raftLog) setCommitIndex(index uint64) {
	l.commitIndex = index
	l.recountUncommittedBytes()
}
