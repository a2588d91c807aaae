package logstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

var errDiskFailure = errors.New("disk failure")

// memoryFileSystem is a file system in memory that tracks which data has been synced.
// The operation with the number failAtOperation fails. Operations are counted from 1.
type memoryFileSystem struct {
	files           map[string][]byte
	syncedFiles     map[string][]byte
	unsyncedRenames map[string]string // renames since the last SyncFolder: old name by new name
	operationCount  int
	failAtOperation int
	openFiles       int
}

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{files: map[string][]byte{}, syncedFiles: map[string][]byte{}, unsyncedRenames: map[string]string{}}
}

// countOperation counts an operation and returns an error if it is the one that must
// fail.
func (m *memoryFileSystem) countOperation() error {
	m.operationCount++
	if m.operationCount == m.failAtOperation {
		return errDiskFailure
	}
	return nil
}

func (m *memoryFileSystem) ReadFile(name string) ([]byte, error) {
	data, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, data...), nil
}

func (m *memoryFileSystem) Create(name string) (File, error) {
	m.files[name] = nil
	return m.open(name)
}

func (m *memoryFileSystem) Append(name string) (File, error) {
	return m.open(name)
}

func (m *memoryFileSystem) open(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	m.openFiles++
	return &memoryFile{fileSystem: m, name: name}, nil
}

func (m *memoryFileSystem) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return m.countOperation()
}

func (m *memoryFileSystem) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.unsyncedRenames[to] = from
	return nil
}

func (m *memoryFileSystem) SyncFolder() error {
	if err := m.countOperation(); err != nil {
		return err
	}
	for to, from := range m.unsyncedRenames {
		m.syncedFiles[to] = m.syncedFiles[from]
		delete(m.syncedFiles, from)
	}
	clear(m.unsyncedRenames)
	return nil
}

func (m *memoryFileSystem) Path(name string) string { return "data/" + name }
func (m *memoryFileSystem) Close() error            { return nil }

// afterPowerLoss returns the file system as it is after a loss of power. It keeps
// all synced data and up to keptBytes of the data appended to each file since its
// last sync.
func (m *memoryFileSystem) afterPowerLoss(keptBytes int) *memoryFileSystem {
	after := newMemoryFileSystem()
	for name, data := range m.syncedFiles {
		if strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if unsynced := m.files[name]; m.unsyncedRenames[name] == "" && len(unsynced) > len(data) {
			data = unsynced[:min(len(data)+keptBytes, len(unsynced))]
		}
		after.files[name] = append([]byte{}, data...)
		after.syncedFiles[name] = after.files[name]
	}
	return after
}

type memoryFile struct {
	fileSystem *memoryFileSystem
	name       string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.fileSystem.files[f.name] = append(f.fileSystem.files[f.name], data...)
	return len(data), f.fileSystem.countOperation()
}

func (f *memoryFile) Sync() error {
	if err := f.fileSystem.countOperation(); err != nil {
		return err
	}
	name := f.name
	if from, ok := f.fileSystem.unsyncedRenames[name]; ok {
		// After a loss of power the synced content still has its old name.
		name = from
	}
	f.fileSystem.syncedFiles[name] = append([]byte{}, f.fileSystem.files[f.name]...)
	return nil
}

func (f *memoryFile) Close() error {
	f.fileSystem.openFiles--
	return nil
}

func newEntry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.KindCommand, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))}
}

func newHardState(term, commitIndex uint64) *consensus.HardState {
	return &consensus.HardState{Self: consensus.ReplicaID{VM: "c1", Incarnation: 5}, ClusterID: 9, Term: term, CommitIndex: commitIndex}
}

// sampleOutputs returns outputs with appended entries, replaced entries, a local
// snapshot and an installed snapshot.
func sampleOutputs() []consensus.Output {
	return []consensus.Output{
		{HardState: newHardState(1, 0)},
		{Entries: []consensus.Entry{newEntry(1, 1), newEntry(2, 1), newEntry(3, 1)}, HardState: newHardState(1, 1)},
		{Entries: []consensus.Entry{newEntry(2, 2)}, HardState: newHardState(2, 2)},
		{Entries: []consensus.Entry{newEntry(3, 2), newEntry(4, 2)}},
		{Snapshot: &consensus.Snapshot{Index: 2, Term: 2, Data: []byte("state 2")}, Entries: []consensus.Entry{newEntry(3, 2), newEntry(4, 2)}},
		{Entries: []consensus.Entry{newEntry(5, 2)}, HardState: newHardState(2, 5)},
		{Snapshot: &consensus.Snapshot{Index: 9, Term: 3, Data: []byte("state 9")}, InstallSnapshot: true, HardState: newHardState(3, 9)},
		{Entries: []consensus.Entry{newEntry(10, 3)}},
	}
}

// stateAfterOutput returns the state that must be restored after an output was saved
// on top of a state.
func stateAfterOutput(state consensus.RestoredState, out consensus.Output) consensus.RestoredState {
	if out.Snapshot != nil {
		state.Snapshot, state.Entries = *out.Snapshot, nil
	}
	for _, e := range out.Entries {
		state.Entries = slices.DeleteFunc(slices.Clone(state.Entries), func(old consensus.Entry) bool { return old.Index >= e.Index })
		state.Entries = append(state.Entries, e)
	}
	if out.HardState != nil {
		state.HardState = *out.HardState
	}
	return state
}

// State whose Save has returned must survive a loss of power at any later operation. If
// a write, sync or rename fails, that Save and every later Save must return the error.
func TestFailureAtEveryOperation(t *testing.T) {
	intact := newMemoryFileSystem()
	store, _, err := Open(intact)
	require.NoError(t, err)
	for _, out := range sampleOutputs() {
		require.NoError(t, store.Save(&out))
	}
	for failAt := 1; failAt <= intact.operationCount; failAt++ {
		files := newMemoryFileSystem()
		files.failAtOperation = failAt
		acknowledged, next := consensus.RestoredState{}, consensus.RestoredState{}
		store, _, err := Open(files)
		for _, out := range sampleOutputs() {
			if err != nil {
				break
			}
			next = stateAfterOutput(acknowledged, out)
			if err = store.Save(&out); err == nil {
				acknowledged = next
			}
		}
		require.ErrorIs(t, err, errDiskFailure)
		if store != nil {
			require.ErrorIs(t, store.Save(&consensus.Output{HardState: newHardState(8, 0)}), errDiskFailure)
		}
		for keptBytes := range 400 {
			_, restored, err := Open(files.afterPowerLoss(keptBytes))
			require.NoError(t, err, "operation %d fails, %d unsynced bytes kept", failAt, keptBytes)
			requireNoAcknowledgedLoss(t, acknowledged, next, restored)
		}
	}
}

// conflictingOutputs returns outputs in which a leader's snapshot replaces entries of an
// earlier term that go beyond it.
func conflictingOutputs() []consensus.Output {
	return []consensus.Output{
		{HardState: newHardState(1, 0)},
		{Entries: []consensus.Entry{newEntry(1, 1), newEntry(2, 1), newEntry(3, 1), newEntry(4, 1), newEntry(5, 1)}, HardState: newHardState(1, 1)},
		{Snapshot: &consensus.Snapshot{Index: 3, Term: 2, Data: []byte("state 3")}, InstallSnapshot: true, HardState: newHardState(3, 3)},
		{Entries: []consensus.Entry{newEntry(4, 3)}, HardState: newHardState(3, 4)},
	}
}

// Guards against descriptors that run out: a replica whose disk is full or broken is
// opened again every 300 ms.
func TestFailedOpenClosesFiles(t *testing.T) {
	for _, outputs := range [][]consensus.Output{nil, sampleOutputs()} {
		files := newMemoryFileSystem()
		saveUntilFailure(files, outputs)
		files.openFiles = 0
		for failAfter := 1; ; failAfter++ {
			files.failAtOperation = files.operationCount + failAfter
			if _, _, err := Open(files); err == nil {
				break
			}
			require.Zero(t, files.openFiles, "operation %d of Open fails", failAfter)
		}
	}
}

// Guards against a folder that refuses the second start after a kill: a replica is killed
// at any operation, for example between the new snapshot and the new log, starts, saves
// entries, and starts again. Every start must restore what was saved before it.
func TestSaveBetweenTwoStartsAfterKill(t *testing.T) {
	for name, outputs := range map[string][]consensus.Output{"sample": sampleOutputs(), "conflict": conflictingOutputs()} {
		for failAt := 1; ; failAt++ {
			files := newMemoryFileSystem()
			files.failAtOperation = failAt
			acknowledged, next := saveUntilFailure(files, outputs)
			if files.operationCount < failAt {
				break
			}
			for start := range 3 {
				what := fmt.Sprintf("%s: killed at operation %d, start %d", name, failAt, start)
				store, restored, err := Open(files)
				require.NoError(t, err, what)
				requireNoAcknowledgedLoss(t, acknowledged, next, restored)
				lastIndex := restored.Snapshot.Index + uint64(len(restored.Entries))
				out := consensus.Output{Entries: []consensus.Entry{newEntry(lastIndex+1, 7)}, HardState: newHardState(7, lastIndex+1)}
				require.NoError(t, store.Save(&out), what)
				acknowledged = stateAfterOutput(restored, out)
				next = acknowledged
			}
		}
	}
}

// saveUntilFailure saves outputs until an operation fails. It returns the state that was
// saved and the state that the failed output would have made.
func saveUntilFailure(files *memoryFileSystem, outputs []consensus.Output) (acknowledged, next consensus.RestoredState) {
	store, _, err := Open(files)
	for _, out := range outputs {
		if err != nil {
			break
		}
		next = stateAfterOutput(acknowledged, out)
		if err = store.Save(&out); err == nil {
			acknowledged = next
		}
	}
	return acknowledged, next
}

// Guards against a replica that stays out after the update of its build: an earlier build
// appended entries after the snapshot to a log that ends before it.
func TestLogWithGapBeforeSnapshotEnd(t *testing.T) {
	files := newMemoryFileSystem()
	log, err := appendRecords([]byte(formatLine), []consensus.Entry{newEntry(1, 1), newEntry(2, 1), newEntry(10, 3), newEntry(11, 3)}, newHardState(3, 11))
	require.NoError(t, err)
	snapshot, err := appendRecord([]byte(formatLine), record{Snapshot: &consensus.Snapshot{Index: 9, Term: 3}})
	require.NoError(t, err)
	files.files[logFileName], files.files[snapshotFileName] = log, snapshot
	for range 2 {
		_, restored, err := Open(files)
		require.NoError(t, err)
		require.Equal(t, []consensus.Entry{newEntry(10, 3), newEntry(11, 3)}, restored.Entries)
	}
	files.files[snapshotFileName], err = appendRecord([]byte(formatLine), record{Snapshot: &consensus.Snapshot{Index: 8, Term: 3}})
	require.NoError(t, err)
	files.files[logFileName] = log
	_, _, err = Open(files)
	require.ErrorContains(t, err, "entry 10 follows entry 2", "entry 9 is missing")
}

// Guards against changes that a loss of power takes back: a process is killed between the
// rename of the log and the sync of the folder. The next start must make the rename
// durable before it saves into the new file.
func TestPowerLossAfterKillBeforeFolderSync(t *testing.T) {
	intact := newMemoryFileSystem()
	saveUntilFailure(intact, sampleOutputs())
	for failAt := 1; failAt <= intact.operationCount; failAt++ {
		files := newMemoryFileSystem()
		files.failAtOperation = failAt
		saveUntilFailure(files, sampleOutputs())
		store, restored, err := Open(files)
		require.NoError(t, err)
		lastIndex := restored.Snapshot.Index + uint64(len(restored.Entries))
		out := consensus.Output{Entries: []consensus.Entry{newEntry(lastIndex+1, 7)}, HardState: newHardState(7, lastIndex+1)}
		require.NoError(t, store.Save(&out))
		want := stateAfterOutput(restored, out)
		_, restored, err = Open(files.afterPowerLoss(0))
		require.NoError(t, err, "killed at operation %d", failAt)
		requireNoAcknowledgedLoss(t, want, want, restored)
	}
}

// requireNoAcknowledgedLoss checks that the restored state is the acknowledged state,
// with or without a prefix of the next output, which was not acknowledged.
func requireNoAcknowledgedLoss(t *testing.T, acknowledged, next, restored consensus.RestoredState) {
	t.Helper()
	require.Contains(t, []consensus.HardState{acknowledged.HardState, next.HardState}, restored.HardState)
	require.Contains(t, []uint64{acknowledged.Snapshot.Index, next.Snapshot.Index}, restored.Snapshot.Index)
	for _, e := range acknowledged.Entries {
		if e.Index <= restored.Snapshot.Index || e.Index > acknowledged.HardState.CommitIndex {
			continue
		}
		require.Contains(t, restored.Entries, e, "a committed entry is lost")
	}
	for _, e := range restored.Entries {
		known := append(append([]consensus.Entry{}, acknowledged.Entries...), next.Entries...)
		require.Contains(t, known, e)
	}
}

// A store that is opened again must restore the saved state. A folder that is in use
// must not be opened a second time.
func TestReopenRestoresSavedState(t *testing.T) {
	for savedCount := range len(sampleOutputs()) + 1 {
		files, err := OpenFolder(t.TempDir() + "/data")
		require.NoError(t, err)
		store, _, err := Open(files)
		require.NoError(t, err)
		want := consensus.RestoredState{}
		for _, out := range sampleOutputs()[:savedCount] {
			require.NoError(t, store.Save(&out))
			want = stateAfterOutput(want, out)
		}
		_, err = OpenFolder(files.Path(""))
		require.ErrorContains(t, err, "in use by another process")
		require.NoError(t, store.Close())
		reopened, err := OpenFolder(files.Path(""))
		require.NoError(t, err)
		store, got, err := Open(reopened)
		require.NoError(t, err)
		require.Equal(t, want.HardState, got.HardState)
		require.Equal(t, want.Snapshot.Index, got.Snapshot.Index)
		require.Equal(t, len(want.Entries), len(got.Entries))
		for i := range want.Entries {
			require.Equal(t, want.Entries[i], got.Entries[i])
		}
		require.NoError(t, store.Close())
	}
}

// A log file that was cut at any byte must open. Only the incomplete last record is
// removed, and the next Save must leave a file that opens again.
func TestIncompleteLastRecordIsRemoved(t *testing.T) {
	content := formatLine
	var recordEnds []int
	for i := range uint64(3) {
		data, err := appendRecord(nil, record{Entry: &consensus.Entry{Index: i + 1, Term: 1, Data: []byte("content")}})
		require.NoError(t, err)
		content += string(data)
		recordEnds = append(recordEnds, len(content))
	}
	for size := len(formatLine); size <= len(content); size++ {
		files := newMemoryFileSystem()
		files.files[logFileName] = []byte(content[:size])
		store, restored, err := Open(files)
		require.NoError(t, err, "size %d", size)
		completeRecords := 0
		for _, end := range recordEnds {
			if end <= size {
				completeRecords++
			}
		}
		require.Len(t, restored.Entries, completeRecords, "size %d", size)
		nextEntry := newEntry(uint64(completeRecords)+1, 4)
		require.NoError(t, store.Save(&consensus.Output{Entries: []consensus.Entry{nextEntry}}))
		_, reopened, err := Open(files)
		require.NoError(t, err, "the incomplete record must be removed")
		require.Equal(t, append(restored.Entries, nextEntry), reopened.Entries)
	}
}

// Open must fail if any byte of the files is damaged or if a file is missing. For a
// damaged byte, the error must contain the file, an offset at or before the damage, and
// the steps to recover.
func TestDamagedByteStopsTheStart(t *testing.T) {
	intact := newMemoryFileSystem()
	store, _, err := Open(intact)
	require.NoError(t, err)
	for _, out := range sampleOutputs()[:6] {
		require.NoError(t, store.Save(&out))
	}
	for _, name := range []string{logFileName, snapshotFileName} {
		for offset := range intact.files[name] {
			files := intact.afterPowerLoss(0)
			files.files[name][offset] ^= 0x10
			_, _, err := Open(files)
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage, "%s at %d", name, offset)
			require.Equal(t, "data/"+name, damage.File)
			require.LessOrEqual(t, damage.Offset, int64(offset))
			require.ErrorContains(t, err, "to recover, move the data folder away")
		}
	}
	for name, want := range map[string]string{logFileName: "file is missing", snapshotFileName: "snapshot ends at 0"} {
		files := intact.afterPowerLoss(0)
		delete(files.files, name)
		_, _, err := Open(files)
		require.ErrorContains(t, err, want)
	}
}

// The decoder must not panic on invalid input or read beyond the end of the data. If a
// decoded record is encoded, decoded and encoded again, both encodings must be equal.
func FuzzDecodeRecord(f *testing.F) {
	e := newEntry(1, 2)
	for _, r := range []record{{Entry: &e}, {HardState: newHardState(1, 2)}, {Snapshot: &consensus.Snapshot{Index: 1}}} {
		data, err := appendRecord(nil, r)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(data[recordHeaderSize:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		requireRoundTrip(t, data)
		// With matching checksums the content reaches the CBOR decoder.
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
		framed = binary.BigEndian.AppendUint32(framed, crc32.Checksum(framed, crc32cTable))
		framed = binary.BigEndian.AppendUint32(framed, crc32.Checksum(data, crc32cTable))
		requireRoundTrip(t, append(framed, data...))
	})
}

func requireRoundTrip(t *testing.T, data []byte) {
	r, size, err := decodeRecord(data)
	if err != nil {
		return
	}
	require.LessOrEqual(t, size, len(data))
	first, err := appendRecord(nil, r)
	require.NoError(t, err)
	decoded, _, err := decodeRecord(first)
	require.NoError(t, err)
	second, err := appendRecord(nil, decoded)
	require.NoError(t, err)
	require.Equal(t, first, second)
}
