package consensus

import "slices"

// entryLog holds the snapshot and the entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// configurations holds the configuration entries after the snapshot.
	configurations []Entry
	commit         uint64
	// handedOut is the last index returned as committed.
	handedOut uint64
	// saved is the last index returned for persisting; stable is the last one
	// acknowledged by Persisted.
	saved  uint64
	stable uint64
	// uncommitted is the size of the commands above the commit index.
	uncommitted int
}

func newEntryLog(restored RestoredState) *entryLog {
	l := &entryLog{snapshot: restored.Snapshot}
	l.append(restored.Entries)
	l.saved, l.stable = l.last(), l.last()
	l.handedOut = l.snapshot.Index
	l.commit = max(l.snapshot.Index, min(restored.HardState.Commit, l.last()))
	l.countUncommitted()
	return l
}

func (l *entryLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at an index, and false outside the kept log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log with the given end may lead this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// between returns the entries in (after, through].
func (l *entryLog) between(after, through uint64) []Entry {
	if after >= through {
		return nil
	}
	return slices.Clone(l.entries[after-l.snapshot.Index : through-l.snapshot.Index])
}

// batch returns entries after an index up to a size, and at least one.
func (l *entryLog) batch(after uint64, maxBytes int) []Entry {
	size := 0
	end := after
	for end < l.last() {
		size += len(l.entries[end-l.snapshot.Index].Data)
		if size > maxBytes && end > after {
			break
		}
		end++
	}
	return l.between(after, end)
}

func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.uncommitted += len(e.Data)
		if e.Kind == KindConfiguration && e.Configuration != nil {
			l.configurations = append(l.configurations, e)
		}
	}
}

// truncate removes the entries after an index.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.snapshot.Index]
	l.configurations = slices.DeleteFunc(l.configurations, func(e Entry) bool { return e.Index > index })
	l.saved = min(l.saved, index)
	l.stable = min(l.stable, index)
	l.countUncommitted()
}

// configuration returns the latest configuration and its index. It is in force
// from the moment it is appended, committed or not.
func (l *entryLog) configuration() (Configuration, uint64) {
	if n := len(l.configurations); n > 0 {
		return *l.configurations[n-1].Configuration, l.configurations[n-1].Index
	}
	return l.snapshot.Configuration, l.snapshot.Index
}

// configurationAt returns the configuration in force at an index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	for _, e := range slices.Backward(l.configurations) {
		if e.Index <= index {
			return *e.Configuration
		}
	}
	return l.snapshot.Configuration
}

// compact replaces the entries up to the snapshot by it. Entries after it stay
// if the log contains the position of the snapshot.
func (l *entryLog) compact(s Snapshot) {
	var rest []Entry
	if l.matches(s.Index, s.Term) {
		rest = l.between(s.Index, l.last())
	}
	l.snapshot, l.entries, l.configurations = s, nil, nil
	l.append(rest)
	l.commit = max(l.commit, s.Index)
	l.handedOut = max(l.handedOut, s.Index)
	// The whole rest is persisted again together with the snapshot.
	l.saved, l.stable = s.Index, s.Index
	l.countUncommitted()
}

func (l *entryLog) countUncommitted() {
	l.uncommitted = 0
	for _, e := range l.entries {
		if e.Index > l.commit {
			l.uncommitted += len(e.Data)
		}
	}
}

func (l *entryLog) commitTo(index uint64) {
	l.commit = index
	l.countUncommitted()
}
