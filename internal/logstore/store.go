package logstore

import (
	"errors"
	"fmt"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	newSuffix    = ".new"
	formatLine   = "bramleyhold log 1\n"
)

// Store writes what a consensus.Core wants to persist. It is not safe for
// concurrent use.
type Store struct {
	files FileSystem
	log   File
	hard  consensus.HardState
	size  int64
	// failed is the first write error. After a failed sync the state of the
	// file is unknown, so the store accepts nothing more.
	failed error
}

// Open reads the folder, removes a torn record at the end of the log and
// returns what was stored.
func Open(files FileSystem) (*Store, consensus.RestoredState, error) {
	l := &loader{files: files}
	size, err := l.load()
	if err != nil {
		return nil, consensus.RestoredState{}, err
	}
	s := &Store{files: files, hard: l.restored.HardState, size: size}
	if size == 0 {
		err = s.replaceLog(nil)
	} else {
		err = s.openLog(size)
	}
	if err != nil {
		return nil, consensus.RestoredState{}, err
	}
	return s, l.restored, nil
}

func (s *Store) openLog(size int64) error {
	if err := s.files.Truncate(logName, size); err != nil {
		return fmt.Errorf("remove torn record: %w", err)
	}
	file, err := s.files.Append(logName)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.log = file
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// Size returns the size of the log file in bytes.
func (s *Store) Size() int64 { return s.size }

// Save writes the snapshot, entries and hard state of an output and syncs them.
// After an error the process must stop.
func (s *Store) Save(out *consensus.Output) error {
	if s.failed != nil {
		return s.failed
	}
	if out.HardState != nil {
		s.hard = *out.HardState
	}
	var err error
	switch {
	case out.Snapshot != nil:
		err = s.saveSnapshot(out)
	case out.HardState != nil || len(out.Entries) > 0:
		err = s.appendLog(out)
	}
	if err != nil {
		s.failed = &WriteError{Err: err}
	}
	return s.failed
}

// WriteError reports that the store could not write and accepts nothing more.
type WriteError struct {
	Err error
}

func (e *WriteError) Error() string { return "control state could not be written: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

func (s *Store) appendLog(out *consensus.Output) error {
	data, err := encode(nil, out.Entries, out.HardState)
	if err != nil {
		return err
	}
	if err := write(s.log, data); err != nil {
		return fmt.Errorf("append to %s: %w", s.files.Path(logName), err)
	}
	s.size += int64(len(data))
	return nil
}

// saveSnapshot replaces the snapshot before the log: the old log together with
// the new snapshot is a valid state, the new log with the old snapshot is not.
func (s *Store) saveSnapshot(out *consensus.Output) error {
	data, err := appendRecord([]byte(formatLine), record{Snapshot: out.Snapshot})
	if err != nil {
		return err
	}
	if err := s.replace(snapshotName, data); err != nil {
		return err
	}
	return s.replaceLog(out.Entries)
}

func (s *Store) replaceLog(entries []consensus.Entry) error {
	var hard *consensus.HardState
	if s.hard != (consensus.HardState{}) {
		hard = &s.hard
	}
	data, err := encode([]byte(formatLine), entries, hard)
	if err != nil {
		return err
	}
	if err := s.replace(logName, data); err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	s.log, err = s.files.Append(logName)
	s.size = int64(len(data))
	return err
}

// replace writes a file under a temporary name, syncs it and renames it.
func (s *Store) replace(name string, data []byte) error {
	file, err := s.files.Create(name + newSuffix)
	if err != nil {
		return fmt.Errorf("create %s: %w", s.files.Path(name+newSuffix), err)
	}
	if err := errors.Join(write(file, data), file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", s.files.Path(name+newSuffix), err)
	}
	if err := s.files.Rename(name+newSuffix, name); err != nil {
		return fmt.Errorf("replace %s: %w", s.files.Path(name), err)
	}
	return s.files.SyncFolder()
}

func write(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// encode puts the entries before the hard state, so that a torn write never
// keeps a commit index without its entries.
func encode(buffer []byte, entries []consensus.Entry, hard *consensus.HardState) ([]byte, error) {
	var err error
	for i := range entries {
		if buffer, err = appendRecord(buffer, record{Entry: &entries[i]}); err != nil {
			return nil, err
		}
	}
	if hard == nil {
		return buffer, nil
	}
	return appendRecord(buffer, record{HardState: hard})
}

// Close closes the log file and releases the folder.
func (s *Store) Close() error { return errors.Join(s.log.Close(), s.files.Close()) }
