package logstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

// CorruptionError reports stored data that cannot be used. The replica must
// not start with it.
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

type loader struct {
	files    FileSystem
	restored consensus.RestoredState
}

// load reads the folder and returns the size of the valid part of the log.
func (l *loader) load() (logSize int64, err error) {
	if err := l.loadSnapshot(); err != nil {
		return 0, err
	}
	data, err := l.files.ReadFile(logName)
	if errors.Is(err, os.ErrNotExist) {
		if l.restored.Snapshot.Index > 0 {
			return 0, l.corruption(logName, 0, "the file is missing although there is a snapshot")
		}
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read log: %w", err)
	}
	if !bytes.HasPrefix(data, []byte(formatLine)) {
		return 0, l.corruption(logName, 0, "the file does not start with the format line")
	}
	size, err := l.loadRecords(data)
	if err != nil {
		return 0, err
	}
	l.dropCovered()
	if reason := l.gap(); reason != "" {
		return 0, l.corruption(logName, len(formatLine), reason)
	}
	return size, nil
}

// gap returns why the entries do not continue the snapshot up to the commit
// index.
func (l *loader) gap() string {
	last := l.restored.Snapshot.Index
	if n := len(l.restored.Entries); n > 0 {
		if first := l.restored.Entries[0].Index; first != last+1 {
			return fmt.Sprintf("the first entry is %d and the snapshot ends at %d", first, last)
		}
		last += uint64(n)
	}
	if commit := l.restored.HardState.Commit; commit > last {
		return fmt.Sprintf("entry %d was committed and the last entry is %d", commit, last)
	}
	return ""
}

func (l *loader) corruption(name string, offset int, reason string) error {
	return &CorruptionError{File: l.files.Path(name), Offset: int64(offset), Reason: reason}
}

func (l *loader) loadSnapshot() error {
	data, err := l.files.ReadFile(snapshotName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	if !bytes.HasPrefix(data, []byte(formatLine)) {
		return l.corruption(snapshotName, 0, "the file does not start with the format line")
	}
	r, size, err := decodeRecord(data[len(formatLine):])
	switch {
	case err != nil:
		return l.corruption(snapshotName, len(formatLine), err.Error())
	case r.Snapshot == nil || len(formatLine)+size != len(data):
		return l.corruption(snapshotName, len(formatLine), "the file does not hold exactly one snapshot")
	}
	l.restored.Snapshot = *r.Snapshot
	return nil
}

// loadRecords reads all records. Only the last record may be incomplete: it
// was never acknowledged, because Save returns after the sync.
func (l *loader) loadRecords(data []byte) (int64, error) {
	offset := len(formatLine)
	for offset < len(data) {
		r, size, err := decodeRecord(data[offset:])
		if errors.Is(err, errTorn) {
			break
		}
		if err != nil {
			return 0, l.corruption(logName, offset, err.Error())
		}
		if reason := l.take(r); reason != "" {
			return 0, l.corruption(logName, offset, reason)
		}
		offset += size
	}
	return int64(offset), nil
}

// take applies one record and returns why it cannot follow the earlier ones.
func (l *loader) take(r record) string {
	switch {
	case r.HardState != nil:
		l.restored.HardState = *r.HardState
	case r.Entry != nil:
		if entries := l.restored.Entries; len(entries) > 0 {
			first, last := entries[0].Index, entries[len(entries)-1].Index
			if r.Entry.Index > last+1 || r.Entry.Index < first {
				return fmt.Sprintf("entry %d follows entry %d", r.Entry.Index, last)
			}
			l.restored.Entries = entries[:r.Entry.Index-first]
		}
		l.restored.Entries = append(l.restored.Entries, *r.Entry)
	default:
		return "a snapshot inside the log"
	}
	return ""
}

// dropCovered removes entries that the snapshot replaces. After a crash
// between the replacement of the snapshot and that of the log, the log still
// holds them; entries that contradict the snapshot are removed as well.
func (l *loader) dropCovered() {
	snapshot, entries := l.restored.Snapshot, l.restored.Entries
	if len(entries) == 0 || entries[0].Index > snapshot.Index {
		return
	}
	covered := snapshot.Index - entries[0].Index + 1
	if covered > uint64(len(entries)) || entries[covered-1].Term != snapshot.Term {
		l.restored.Entries = nil
		return
	}
	l.restored.Entries = entries[covered:]
}
