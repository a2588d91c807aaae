package logstore

import (
	"errors"
	"fmt"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

const (
	logFileName      = "log"
	snapshotFileName = "snapshot"
	temporarySuffix  = ".new"
	formatLine       = "bramleyhold log 1\n"
)

// Store persists the snapshots, entries and hard states from the outputs of a
// consensus.Core. It is not safe for concurrent use.
type Store struct {
	fileSystem FileSystem
	logFile    File
	hardState  consensus.HardState
	logSize    int64
	// firstWriteErr is the first error of Save. After a failed sync the content of the
	// file on disk is unknown, so every later Save fails with this error.
	firstWriteErr error
}

// Open reads the stored state and opens the log file for appending. It removes an
// incomplete record at the end of the log file, and completes the replacement of the
// log that a kill interrupted. If the folder has no log file, Open creates one.
func Open(fileSystem FileSystem) (*Store, consensus.RestoredState, error) {
	l := &loader{fileSystem: fileSystem}
	size, err := l.load()
	if err != nil {
		return nil, consensus.RestoredState{}, err
	}
	// A kill may have come between a rename and the sync of the folder. The names must be
	// durable before anything that follows from the loaded files is saved.
	if err := fileSystem.SyncFolder(); err != nil {
		return nil, consensus.RestoredState{}, fmt.Errorf("sync data folder: %w", err)
	}
	s := &Store{fileSystem: fileSystem, hardState: l.restored.HardState, logSize: size}
	if size == 0 || l.logIncludesSnapshot {
		// Entries appended to a log that ends before the snapshot, or conflicts with it,
		// would not follow the entries before them.
		err = s.replaceLog(l.restored.Entries)
	} else {
		err = s.openLogFile(size)
	}
	if err != nil {
		if s.logFile != nil {
			err = errors.Join(err, s.logFile.Close())
		}
		return nil, consensus.RestoredState{}, err
	}
	return s, l.restored, nil
}

// openLogFile truncates the log file to a size and opens it for appending.
func (s *Store) openLogFile(size int64) error {
	if err := s.fileSystem.Truncate(logFileName, size); err != nil {
		return fmt.Errorf("remove incomplete record from log: %w", err)
	}
	var err error
	if s.logFile, err = s.openForAppend(); err != nil {
		return err
	}
	if err := s.logFile.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

func (s *Store) openForAppend() (File, error) {
	file, err := s.fileSystem.Append(logFileName)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return file, nil
}

// LogSize returns the size of the log file in bytes.
func (s *Store) LogSize() int64 { return s.logSize }

// Save writes the snapshot, entries and hard state of an output to disk and syncs
// them. The process must stop after an error.
func (s *Store) Save(out *consensus.Output) error {
	if s.firstWriteErr != nil {
		return s.firstWriteErr
	}
	if out.HardState != nil {
		s.hardState = *out.HardState
	}
	var err error
	switch {
	case out.Snapshot != nil:
		err = s.saveSnapshot(out)
	case out.HardState != nil || len(out.Entries) > 0:
		err = s.appendToLog(out)
	}
	if err != nil {
		s.firstWriteErr = &WriteError{Err: err}
	}
	return s.firstWriteErr
}

// WriteError reports a failed write. The store rejects every later Save.
type WriteError struct {
	Err error
}

func (e *WriteError) Error() string { return "control state could not be written: " + e.Err.Error() }

func (e *WriteError) Unwrap() error { return e.Err }

func (s *Store) appendToLog(out *consensus.Output) error {
	data, err := appendRecords(nil, out.Entries, out.HardState)
	if err != nil {
		return err
	}
	if err := writeAndSync(s.logFile, data); err != nil {
		return fmt.Errorf("append to %s: %w", s.fileSystem.Path(logFileName), err)
	}
	s.logSize += int64(len(data))
	return nil
}

// saveSnapshot replaces the snapshot file before the log file. After a crash in
// between, the folder contains the new snapshot and the old log, and Open replaces the
// log. In the opposite order it would contain the old snapshot and the new log, and the
// entries between them would be missing.
func (s *Store) saveSnapshot(out *consensus.Output) error {
	data, err := appendRecord([]byte(formatLine), record{Snapshot: out.Snapshot})
	if err != nil {
		return err
	}
	if err := s.replaceFile(snapshotFileName, data); err != nil {
		return err
	}
	return s.replaceLog(out.Entries)
}

// replaceLog replaces the log file by one with the given entries and the current
// hard state.
func (s *Store) replaceLog(entries []consensus.Entry) error {
	var hardState *consensus.HardState
	if s.hardState != (consensus.HardState{}) {
		hardState = &s.hardState
	}
	data, err := appendRecords([]byte(formatLine), entries, hardState)
	if err != nil {
		return err
	}
	if err := s.replaceFile(logFileName, data); err != nil {
		return err
	}
	if s.logFile != nil {
		_ = s.logFile.Close()
	}
	s.logSize = int64(len(data))
	s.logFile, err = s.openForAppend()
	return err
}

// replaceFile writes a file under a temporary name, syncs it and renames it.
func (s *Store) replaceFile(name string, data []byte) error {
	file, err := s.fileSystem.Create(name + temporarySuffix)
	if err != nil {
		return fmt.Errorf("create %s: %w", s.fileSystem.Path(name+temporarySuffix), err)
	}
	if err := errors.Join(writeAndSync(file, data), file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", s.fileSystem.Path(name+temporarySuffix), err)
	}
	if err := s.fileSystem.Rename(name+temporarySuffix, name); err != nil {
		return fmt.Errorf("replace %s: %w", s.fileSystem.Path(name), err)
	}
	return s.fileSystem.SyncFolder()
}

func writeAndSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// appendRecords appends the records of the entries and of the hard state to the
// buffer. The entries come first, so that an interrupted write never leaves a hard
// state whose commit index is above the last stored entry.
func appendRecords(buffer []byte, entries []consensus.Entry, hardState *consensus.HardState) ([]byte, error) {
	var err error
	for i := range entries {
		if buffer, err = appendRecord(buffer, record{Entry: &entries[i]}); err != nil {
			return nil, err
		}
	}
	if hardState == nil {
		return buffer, nil
	}
	return appendRecord(buffer, record{HardState: hardState})
}

// Close closes the log file and releases the lock of the folder.
func (s *Store) Close() error { return errors.Join(s.logFile.Close(), s.fileSystem.Close()) }
