package logstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

// CorruptionError reports damaged or missing stored data. The replica must not
// start with such data.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; to recover, move the data folder away and start again: "+
		"with a majority of the other replicas running, this replica rejoins with an empty disk; "+
		"a single replica must be restored from a backup", e.File, e.Offset, e.Reason)
}

// loader reads the stored state of a replica from its data folder.
type loader struct {
	fileSystem FileSystem
	restored   consensus.RestoredState
	// logIncludesSnapshot is set if the log file has entries that the snapshot replaces.
	logIncludesSnapshot bool
}

// load reads the snapshot and the log. It returns the size of the log file up to the
// end of the last complete record, or zero if there is no log file.
func (l *loader) load() (logSize int64, err error) {
	if err := l.loadSnapshot(); err != nil {
		return 0, err
	}
	data, err := l.fileSystem.ReadFile(logFileName)
	if errors.Is(err, os.ErrNotExist) {
		if l.restored.Snapshot.Index > 0 {
			return 0, l.corruptionError(logFileName, 0, "the file is missing although there is a snapshot")
		}
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read log: %w", err)
	}
	if !bytes.HasPrefix(data, []byte(formatLine)) {
		return 0, l.corruptionError(logFileName, 0, "the file does not start with the format line")
	}
	size, err := l.loadRecords(data)
	if err != nil {
		return 0, err
	}
	l.dropEntriesInSnapshot()
	if reason := l.missingEntriesReason(); reason != "" {
		return 0, l.corruptionError(logFileName, len(formatLine), reason)
	}
	return size, nil
}

// missingEntriesReason returns an error text if entries are missing between the
// snapshot and the commit index. Otherwise it returns "".
func (l *loader) missingEntriesReason() string {
	lastIndex := l.restored.Snapshot.Index
	if n := len(l.restored.Entries); n > 0 {
		if firstIndex := l.restored.Entries[0].Index; firstIndex != lastIndex+1 {
			return fmt.Sprintf("the first entry is %d and the snapshot ends at %d", firstIndex, lastIndex)
		}
		lastIndex += uint64(n)
	}
	if commitIndex := l.restored.HardState.CommitIndex; commitIndex > lastIndex {
		return fmt.Sprintf("the commit index is %d, but the stored log ends at %d", commitIndex, lastIndex)
	}
	return ""
}

func (l *loader) corruptionError(name string, offset int, reason string) error {
	return &CorruptionError{File: l.fileSystem.Path(name), Offset: int64(offset), Reason: reason}
}

func (l *loader) loadSnapshot() error {
	data, err := l.fileSystem.ReadFile(snapshotFileName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	if !bytes.HasPrefix(data, []byte(formatLine)) {
		return l.corruptionError(snapshotFileName, 0, "the file does not start with the format line")
	}
	r, size, err := decodeRecord(data[len(formatLine):])
	switch {
	case err != nil:
		return l.corruptionError(snapshotFileName, len(formatLine), err.Error())
	case r.Snapshot == nil || len(formatLine)+size != len(data):
		return l.corruptionError(snapshotFileName, len(formatLine), "the file does not hold exactly one snapshot")
	}
	l.restored.Snapshot = *r.Snapshot
	return nil
}

// loadRecords reads the records of the log file and returns the offset after the
// last complete one. Only the last record may be incomplete. Such a record was never
// acknowledged, because Save returns after the sync.
func (l *loader) loadRecords(data []byte) (int64, error) {
	offset := len(formatLine)
	for offset < len(data) {
		r, size, err := decodeRecord(data[offset:])
		if errors.Is(err, errIncompleteRecord) {
			break
		}
		if err != nil {
			return 0, l.corruptionError(logFileName, offset, err.Error())
		}
		if reason := l.applyRecord(r); reason != "" {
			return 0, l.corruptionError(logFileName, offset, reason)
		}
		offset += size
	}
	return int64(offset), nil
}

// applyRecord applies one record to the restored state. An entry replaces all earlier
// entries from its index on. It returns an error text if the record cannot follow the
// earlier ones, and "" otherwise.
//
// A gap that the snapshot covers is valid: before Open completed interrupted
// replacements of the log, entries after the snapshot were appended to the old log.
func (l *loader) applyRecord(r record) string {
	switch {
	case r.HardState != nil:
		l.restored.HardState = *r.HardState
	case r.Entry != nil:
		if entries := l.restored.Entries; len(entries) > 0 {
			firstIndex, lastIndex := entries[0].Index, entries[len(entries)-1].Index
			if snapshotIndex := l.restored.Snapshot.Index; lastIndex < snapshotIndex && r.Entry.Index == snapshotIndex+1 {
				l.logIncludesSnapshot = true
				l.restored.Entries = []consensus.Entry{*r.Entry}
				return ""
			}
			if r.Entry.Index > lastIndex+1 || r.Entry.Index < firstIndex {
				return fmt.Sprintf("entry %d follows entry %d", r.Entry.Index, lastIndex)
			}
			l.restored.Entries = entries[:r.Entry.Index-firstIndex]
		}
		l.restored.Entries = append(l.restored.Entries, *r.Entry)
	default:
		return "the log file contains a snapshot record"
	}
	return ""
}

// dropEntriesInSnapshot removes the entries that the snapshot replaces. The log file
// still contains them after a crash between the replacement of the snapshot file and
// that of the log file. If the log conflicts with the last entry of the snapshot or
// ends before it, all entries are removed.
func (l *loader) dropEntriesInSnapshot() {
	snapshot, entries := l.restored.Snapshot, l.restored.Entries
	if len(entries) == 0 || entries[0].Index > snapshot.Index {
		return
	}
	l.logIncludesSnapshot = true
	replacedCount := snapshot.Index - entries[0].Index + 1
	if replacedCount > uint64(len(entries)) || entries[replacedCount-1].Term != snapshot.Term {
		l.restored.Entries = nil
		return
	}
	l.restored.Entries = entries[replacedCount:]
}
