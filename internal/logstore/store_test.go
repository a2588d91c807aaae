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

var errDisk = errors.New("disk failure")

// memory is a file system in memory. What was not synced is lost in a crash,
// and the operation with number failAt fails.
type memory struct {
	files   map[string][]byte
	synced  map[string][]byte
	renames map[string]string // renamed since the last SyncFolder: new, old
	count   int
	failAt  int
}

func newMemory() *memory {
	return &memory{files: map[string][]byte{}, synced: map[string][]byte{}, renames: map[string]string{}}
}

func (m *memory) operation() error {
	m.count++
	if m.count == m.failAt {
		return errDisk
	}
	return nil
}

func (m *memory) ReadFile(name string) ([]byte, error) {
	data, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, data...), nil
}

func (m *memory) Create(name string) (File, error) {
	m.files[name] = nil
	return &memoryFile{m: m, name: name}, m.operation()
}

func (m *memory) Append(name string) (File, error) {
	return &memoryFile{m: m, name: name}, m.operation()
}

func (m *memory) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return m.operation()
}

func (m *memory) Rename(from, to string) error {
	if err := m.operation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.renames[to] = from
	return nil
}

func (m *memory) SyncFolder() error {
	if err := m.operation(); err != nil {
		return err
	}
	for to, from := range m.renames {
		m.synced[to] = m.synced[from]
		delete(m.synced, from)
	}
	clear(m.renames)
	return nil
}

func (m *memory) Path(name string) string { return "data/" + name }
func (m *memory) Close() error            { return nil }

// crash returns the file system as it is after a loss of power: all that was
// synced, and a part of what was appended after it.
func (m *memory) crash(kept int) *memory {
	after := newMemory()
	for name, data := range m.synced {
		if strings.HasSuffix(name, newSuffix) {
			continue
		}
		if unsynced := m.files[name]; m.renames[name] == "" && len(unsynced) > len(data) {
			data = unsynced[:min(len(data)+kept, len(unsynced))]
		}
		after.files[name] = append([]byte{}, data...)
		after.synced[name] = after.files[name]
	}
	return after
}

type memoryFile struct {
	m    *memory
	name string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.m.files[f.name] = append(f.m.files[f.name], data...)
	return len(data), f.m.operation()
}

func (f *memoryFile) Sync() error {
	if err := f.m.operation(); err != nil {
		return err
	}
	f.m.synced[f.name] = append([]byte{}, f.m.files[f.name]...)
	return nil
}

func (f *memoryFile) Close() error { return nil }

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.KindCommand, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))}
}

func hard(term, commit uint64) *consensus.HardState {
	return &consensus.HardState{Self: consensus.Replica{VM: "c1", Incarnation: 5}, Cluster: 9, Term: term, Commit: commit}
}

// outputs covers appends, replaced entries, a local snapshot and an installed
// one.
func outputs() []consensus.Output {
	return []consensus.Output{
		{HardState: hard(1, 0)},
		{Entries: []consensus.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, HardState: hard(1, 1)},
		{Entries: []consensus.Entry{entry(2, 2)}, HardState: hard(2, 2)},
		{Entries: []consensus.Entry{entry(3, 2), entry(4, 2)}},
		{Snapshot: &consensus.Snapshot{Index: 2, Term: 2, Data: []byte("state 2")}, Entries: []consensus.Entry{entry(3, 2), entry(4, 2)}},
		{Entries: []consensus.Entry{entry(5, 2)}, HardState: hard(2, 5)},
		{Snapshot: &consensus.Snapshot{Index: 9, Term: 3, Data: []byte("state 9")}, InstallSnapshot: true, HardState: hard(3, 9)},
		{Entries: []consensus.Entry{entry(10, 3)}},
	}
}

// expected is what must be read back after an output.
func expected(r consensus.RestoredState, out consensus.Output) consensus.RestoredState {
	if out.Snapshot != nil {
		r.Snapshot, r.Entries = *out.Snapshot, nil
	}
	for _, e := range out.Entries {
		r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(old consensus.Entry) bool { return old.Index >= e.Index })
		r.Entries = append(r.Entries, e)
	}
	if out.HardState != nil {
		r.HardState = *out.HardState
	}
	return r
}

// Guards against acknowledged state that is lost when power fails at any later
// operation, and against a Save that reports success after a failed write,
// sync or rename, or that accepts more after it.
func TestFailureAtEveryOperation(t *testing.T) {
	operations := newMemory()
	store, _, err := Open(operations)
	require.NoError(t, err)
	for _, out := range outputs() {
		require.NoError(t, store.Save(&out))
	}
	for failAt := 1; failAt <= operations.count; failAt++ {
		files := newMemory()
		files.failAt = failAt
		acknowledged, next := consensus.RestoredState{}, consensus.RestoredState{}
		store, _, err := Open(files)
		for _, out := range outputs() {
			if err != nil {
				break
			}
			next = expected(acknowledged, out)
			if err = store.Save(&out); err == nil {
				acknowledged = next
			}
		}
		require.ErrorIs(t, err, errDisk)
		if store != nil {
			require.ErrorIs(t, store.Save(&consensus.Output{HardState: hard(8, 0)}), errDisk)
		}
		for kept := range 400 {
			_, restored, err := Open(files.crash(kept))
			require.NoError(t, err, "operation %d fails, %d bytes kept", failAt, kept)
			requireAtLeast(t, acknowledged, next, restored)
		}
	}
}

// requireAtLeast accepts the acknowledged state and any prefix of the output
// that was not acknowledged.
func requireAtLeast(t *testing.T, acknowledged, next, restored consensus.RestoredState) {
	t.Helper()
	require.Contains(t, []consensus.HardState{acknowledged.HardState, next.HardState}, restored.HardState)
	require.Contains(t, []uint64{acknowledged.Snapshot.Index, next.Snapshot.Index}, restored.Snapshot.Index)
	for _, e := range acknowledged.Entries {
		if e.Index <= restored.Snapshot.Index || e.Index > acknowledged.HardState.Commit {
			continue
		}
		require.Contains(t, restored.Entries, e, "a committed entry is lost")
	}
	for _, e := range restored.Entries {
		known := append(append([]consensus.Entry{}, acknowledged.Entries...), next.Entries...)
		require.Contains(t, known, e)
	}
}

// Guards against state that differs after a restart.
func TestReopen(t *testing.T) {
	for count := range len(outputs()) + 1 {
		files, err := OpenFolder(t.TempDir() + "/data")
		require.NoError(t, err)
		store, _, err := Open(files)
		require.NoError(t, err)
		want := consensus.RestoredState{}
		for _, out := range outputs()[:count] {
			require.NoError(t, store.Save(&out))
			want = expected(want, out)
		}
		_, err = OpenFolder(files.Path(""))
		require.ErrorContains(t, err, "in use by another process")
		require.NoError(t, store.Close())
		again, err := OpenFolder(files.Path(""))
		require.NoError(t, err)
		store, got, err := Open(again)
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

// Guards against a record that was cut at any byte and stops the start, and
// against one that takes earlier records with it.
func TestTornRecordAtEveryByte(t *testing.T) {
	whole := formatLine
	var ends []int
	for i := range uint64(3) {
		data, err := appendRecord(nil, record{Entry: &consensus.Entry{Index: i + 1, Term: 1, Data: []byte("content")}})
		require.NoError(t, err)
		whole += string(data)
		ends = append(ends, len(whole))
	}
	for size := len(formatLine); size <= len(whole); size++ {
		files := newMemory()
		files.files[logName] = []byte(whole[:size])
		store, restored, err := Open(files)
		require.NoError(t, err, "size %d", size)
		complete := 0
		for _, end := range ends {
			if end <= size {
				complete++
			}
		}
		require.Len(t, restored.Entries, complete, "size %d", size)
		next := entry(uint64(complete)+1, 4)
		require.NoError(t, store.Save(&consensus.Output{Entries: []consensus.Entry{next}}))
		_, again, err := Open(files)
		require.NoError(t, err, "the torn record must be removed")
		require.Equal(t, append(restored.Entries, next), again.Entries)
	}
}

// Guards against a start with any damaged byte, and against an error that does
// not say where the damage is and what to do.
func TestDamagedByteStopsTheStart(t *testing.T) {
	intact := newMemory()
	store, _, err := Open(intact)
	require.NoError(t, err)
	for _, out := range outputs()[:6] {
		require.NoError(t, store.Save(&out))
	}
	for _, name := range []string{logName, snapshotName} {
		for offset := range intact.files[name] {
			files := intact.crash(0)
			files.files[name][offset] ^= 0x10
			_, _, err := Open(files)
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage, "%s at %d", name, offset)
			require.Equal(t, "data/"+name, damage.File)
			require.LessOrEqual(t, damage.Offset, int64(offset))
			require.ErrorContains(t, err, "to recover, move the data folder away")
		}
	}
	for name, want := range map[string]string{logName: "file is missing", snapshotName: "snapshot ends at 0"} {
		files := intact.crash(0)
		delete(files.files, name)
		_, _, err := Open(files)
		require.ErrorContains(t, err, want)
	}
}

// Guards against a decoder that fails on any input other than with an error,
// or that reads more than the record.
func FuzzDecodeRecord(f *testing.F) {
	e := entry(1, 2)
	for _, r := range []record{{Entry: &e}, {HardState: hard(1, 2)}, {Snapshot: &consensus.Snapshot{Index: 1}}} {
		data, err := appendRecord(nil, r)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(data[headerSize:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		requireDecodes(t, data)
		// With matching checksums the content reaches the CBOR decoder.
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
		framed = binary.BigEndian.AppendUint32(framed, crc32.Checksum(framed, castagnoli))
		framed = binary.BigEndian.AppendUint32(framed, crc32.Checksum(data, castagnoli))
		requireDecodes(t, append(framed, data...))
	})
}

func requireDecodes(t *testing.T, data []byte) {
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
