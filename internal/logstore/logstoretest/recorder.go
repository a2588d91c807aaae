package logstoretest

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"os"

	"bramleyhold.example/bramleyhold/internal/logstore"
)

// operationKind is a kind of change to a recorded folder.
type operationKind int

const (
	createFile operationKind = iota
	writeFile
	syncFile
	truncateFile
	renameFile
	syncFolder
)

// operation is one recorded change to a folder. Files are identified by a number that
// they keep when they are renamed.
type operation struct {
	kind     operationKind
	file     int
	name, to string
	data     []byte
	size     int64
}

// Recorder is a folder in memory that records every change, so that the folder can be
// built as it is after a crash at any of them.
type Recorder struct {
	operations []operation
	current    folderState
}

// folderState is the content of a folder, and what a loss of power leaves of it.
type folderState struct {
	content map[int][]byte
	names   map[string]int
	// synced has the content of each file at its last sync, and unsynced the changes to it
	// since then.
	synced   map[int][]byte
	unsynced map[int][]operation
	// durableNames are the names at the last sync of the folder, and nameChanges the
	// creations and renames since then.
	durableNames map[string]int
	nameChanges  []operation
}

func newFolderState() folderState {
	return folderState{content: map[int][]byte{}, names: map[string]int{}, synced: map[int][]byte{}, unsynced: map[int][]operation{}, durableNames: map[string]int{}}
}

// NewRecorder returns an empty folder.
func NewRecorder() *Recorder { return &Recorder{current: newFolderState()} }

// Operations returns the number of recorded changes.
func (r *Recorder) Operations() int { return len(r.operations) }

func (r *Recorder) record(o operation) {
	r.operations = append(r.operations, o)
	r.current.apply(o)
}

func (s *folderState) apply(o operation) {
	switch o.kind {
	case createFile:
		s.names[o.name], s.content[o.file] = o.file, nil
		s.nameChanges = append(s.nameChanges, o)
	case writeFile, truncateFile:
		s.content[o.file] = changedContent(s.content[o.file], o)
		s.unsynced[o.file] = append(s.unsynced[o.file], o)
	case syncFile:
		s.synced[o.file], s.unsynced[o.file] = s.content[o.file], nil
	case renameFile:
		s.names[o.to] = s.names[o.name]
		delete(s.names, o.name)
		s.nameChanges = append(s.nameChanges, o)
	case syncFolder:
		s.durableNames, s.nameChanges = maps.Clone(s.names), nil
	}
}

func changedContent(content []byte, o operation) []byte {
	if o.kind == truncateFile {
		return bytes.Clone(content[:min(int64(len(content)), o.size)])
	}
	return append(bytes.Clone(content), o.data...)
}

// AfterKill returns the folder as it is when the process is killed after the first count
// operations: everything that was written stays, and what was not synced is still not
// durable. If the last operation is a write, half of it is done if half is set, as after a
// write to a disk that became full.
func (r *Recorder) AfterKill(count int, half bool) *Recorder {
	after := NewRecorder()
	for i, o := range r.operations[:count] {
		if i == count-1 && half {
			o.data = o.data[:len(o.data)/2]
		}
		after.record(o)
	}
	return after
}

// AfterPowerLoss returns the folder as it is when power is lost after the first count
// operations. Each change that was not synced stays, goes or, if it is a write, stays in
// part, as random decides. With a nil random all of them go.
func (r *Recorder) AfterPowerLoss(count int, random *rand.Rand) *Recorder {
	state := r.AfterKill(count, false).current
	names := maps.Clone(state.durableNames)
	for _, change := range state.nameChanges {
		// The sync of a new file makes its name durable as well.
		_, isSynced := state.synced[change.file]
		switch {
		case change.kind == createFile && (isSynced || keeps(random)):
			names[change.name] = change.file
		case change.kind == renameFile && keeps(random):
			delete(names, change.name)
			names[change.to] = change.file
		}
	}
	after := NewRecorder()
	for name, file := range names {
		content := state.synced[file]
		for _, change := range state.unsynced[file] {
			if !keeps(random) {
				continue
			}
			if change.kind == writeFile && random.IntN(2) == 0 {
				change.data = change.data[:random.IntN(len(change.data)+1)]
			}
			content = changedContent(content, change)
		}
		after.addFile(name, content)
	}
	return after
}

func keeps(random *rand.Rand) bool { return random != nil && random.IntN(2) == 0 }

// addFile adds a file that is durable.
func (r *Recorder) addFile(name string, content []byte) {
	file := len(r.current.content)
	r.current.names[name], r.current.durableNames[name] = file, file
	r.current.content[file], r.current.synced[file] = bytes.Clone(content), bytes.Clone(content)
	// The record starts with this content.
	r.operations = append(r.operations,
		operation{kind: createFile, name: name, file: file}, operation{kind: writeFile, file: file, data: bytes.Clone(content)},
		operation{kind: syncFile, file: file}, operation{kind: syncFolder})
}

// ReadFile returns the content of a file, or os.ErrNotExist.
func (r *Recorder) ReadFile(name string) ([]byte, error) {
	file, ok := r.current.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(r.current.content[file]), nil
}

// Create creates an empty file. A file of the same name is replaced.
func (r *Recorder) Create(name string) (logstore.File, error) {
	file := len(r.current.content)
	r.record(operation{kind: createFile, name: name, file: file})
	return &recordedFile{recorder: r, file: file}, nil
}

// Append opens a file for writing at its end.
func (r *Recorder) Append(name string) (logstore.File, error) {
	file, ok := r.current.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &recordedFile{recorder: r, file: file}, nil
}

// Truncate shortens a file.
func (r *Recorder) Truncate(name string, size int64) error {
	file, ok := r.current.names[name]
	if !ok {
		return os.ErrNotExist
	}
	if int64(len(r.current.content[file])) > size {
		r.record(operation{kind: truncateFile, file: file, size: size})
	}
	return nil
}

// Rename renames a file and replaces one that has the new name.
func (r *Recorder) Rename(from, to string) error {
	file, ok := r.current.names[from]
	if !ok {
		return os.ErrNotExist
	}
	r.record(operation{kind: renameFile, name: from, to: to, file: file})
	return nil
}

// SyncFolder makes the names of files durable.
func (r *Recorder) SyncFolder() error {
	r.record(operation{kind: syncFolder})
	return nil
}

// Path returns the name with the name of the folder.
func (r *Recorder) Path(name string) string { return "recorded/" + name }

// Close does nothing.
func (r *Recorder) Close() error { return nil }

type recordedFile struct {
	recorder *Recorder
	file     int
}

func (f *recordedFile) Write(data []byte) (int, error) {
	f.recorder.record(operation{kind: writeFile, file: f.file, data: bytes.Clone(data)})
	return len(data), nil
}

func (f *recordedFile) Sync() error {
	f.recorder.record(operation{kind: syncFile, file: f.file})
	return nil
}

func (f *recordedFile) Close() error { return nil }
