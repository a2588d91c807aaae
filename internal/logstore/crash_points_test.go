package logstore_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/logstore/logstoretest"
)

// seedsVariable is the number of seeds of a long run. CI uses defaultCrashSeeds.
const (
	seedsVariable     = "BRAMLEY_CRASH_SEEDS"
	defaultCrashSeeds = 12
	savesPerRun       = 25
	powerLossesAtEach = 4
)

// savedState is what a store has confirmed at a point of a run, and what the Save in
// progress would add.
type savedState struct {
	operations int
	confirmed  consensus.RestoredState
	inProgress *consensus.Output
}

// storeRun is a seeded run of a store on a recorded folder.
type storeRun struct {
	t        *testing.T
	random   *rand.Rand
	recorder *logstoretest.Recorder
	store    *logstore.Store
	state    consensus.RestoredState
	points   []savedState
}

func newStoreRun(t *testing.T, seed uint64) *storeRun {
	r := &storeRun{t: t, random: rand.New(rand.NewPCG(seed, 8)), recorder: logstoretest.NewRecorder()}
	r.open()
	return r
}

func (r *storeRun) open() {
	r.points = append(r.points, savedState{operations: r.recorder.Operations(), confirmed: r.state})
	store, restored, err := logstore.Open(r.recorder)
	require.NoError(r.t, err)
	requireSameState(r.t, r.state, restored)
	r.store = store
}

func lastIndex(state consensus.RestoredState) uint64 {
	return state.Snapshot.Index + uint64(len(state.Entries))
}

func (r *storeRun) save(out consensus.Output) {
	r.points = append(r.points, savedState{operations: r.recorder.Operations(), confirmed: r.state, inProgress: &out})
	require.NoError(r.t, r.store.Save(&out))
	r.state = afterSave(r.state, out)
}

// afterSave returns the state that is stored after an output was saved.
func afterSave(state consensus.RestoredState, out consensus.Output) consensus.RestoredState {
	if out.HardState != nil {
		state.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		state.Snapshot, state.Entries = *out.Snapshot, slices.Clone(out.Entries)
		return state
	}
	for _, e := range out.Entries {
		state.Entries = append(slices.Clone(state.Entries[:e.Index-state.Snapshot.Index-1]), e)
	}
	return state
}

// saveRandom saves a random output that a replica might save: new entries, entries that
// replace uncommitted ones, a snapshot of its own, or one of a leader, which may conflict
// with the log or go beyond it.
func (r *storeRun) saveRandom() {
	s := &r.state
	hardState := s.HardState
	hardState.Self, hardState.ClusterID = consensus.ReplicaID{VM: "c1", Incarnation: 5}, 9
	last, commit := lastIndex(*s), max(hardState.CommitIndex, s.Snapshot.Index)
	switch choice := r.random.IntN(10); {
	case choice < 5:
		hardState.Term = max(hardState.Term, 1)
		r.appendAfter(last, hardState)
	case choice < 7:
		hardState.Term++
		r.appendAfter(commit+r.random.Uint64N(last-commit+1), hardState)
	case choice < 8 && commit > s.Snapshot.Index:
		index := s.Snapshot.Index + 1 + r.random.Uint64N(commit-s.Snapshot.Index)
		entry := s.Entries[index-s.Snapshot.Index-1]
		r.save(consensus.Output{Snapshot: snapshotAt(index, entry.Term), Entries: slices.Clone(s.Entries[index-s.Snapshot.Index:])})
	case choice < 9:
		hardState.Term++
		index := commit + 1 + r.random.Uint64N(last-commit+4)
		hardState.CommitIndex = index
		r.save(consensus.Output{Snapshot: snapshotAt(index, hardState.Term), InstallSnapshot: true, HardState: &hardState})
	default:
		r.open()
	}
}

func (r *storeRun) appendAfter(index uint64, hardState consensus.HardState) {
	var entries []consensus.Entry
	for range 1 + r.random.IntN(3) {
		index++
		entries = append(entries, consensus.Entry{Index: index, Term: hardState.Term, Kind: consensus.KindCommand, Data: []byte(fmt.Sprint("command ", r.random.Uint64()))})
	}
	commit := max(hardState.CommitIndex, r.state.Snapshot.Index)
	hardState.CommitIndex = commit + r.random.Uint64N(index-commit+1)
	r.save(consensus.Output{Entries: entries, HardState: &hardState})
}

func snapshotAt(index, term uint64) *consensus.Snapshot {
	return &consensus.Snapshot{Index: index, Term: term, Data: []byte(fmt.Sprint("state ", index))}
}

func requireSameState(t *testing.T, want, got consensus.RestoredState) {
	t.Helper()
	require.Equal(t, want.HardState, got.HardState)
	require.Equal(t, want.Snapshot, got.Snapshot)
	require.Equal(t, len(want.Entries), len(got.Entries))
	for i := range want.Entries {
		require.Equal(t, want.Entries[i], got.Entries[i])
	}
}

// requireConfirmed checks that a restored state has all that was confirmed, with or
// without parts of the Save in progress.
func requireConfirmed(t *testing.T, point savedState, restored consensus.RestoredState) {
	t.Helper()
	next := point.confirmed
	if point.inProgress != nil {
		next = afterSave(next, *point.inProgress)
	}
	require.Contains(t, []consensus.HardState{point.confirmed.HardState, next.HardState}, restored.HardState)
	require.Contains(t, []consensus.Snapshot{point.confirmed.Snapshot, next.Snapshot}, restored.Snapshot)
	if lastIndex(restored) < restored.HardState.CommitIndex {
		require.Fail(t, "a committed entry is missing")
	}
	entryAt := func(state consensus.RestoredState, index uint64) (consensus.Entry, bool) {
		if index <= state.Snapshot.Index || index > lastIndex(state) {
			return consensus.Entry{}, false
		}
		return state.Entries[index-state.Snapshot.Index-1], true
	}
	// The entries that the Save in progress leaves as they were must be there.
	for index := restored.Snapshot.Index + 1; index <= lastIndex(point.confirmed); index++ {
		before, was := entryAt(point.confirmed, index)
		after, is := entryAt(next, index)
		got, found := entryAt(restored, index)
		if was && is && before.Term == after.Term {
			require.True(t, found, "entry %d is lost", index)
		}
		if found {
			require.Contains(t, []consensus.Entry{before, after}, got)
		}
	}
	for _, e := range restored.Entries {
		before, _ := entryAt(point.confirmed, e.Index)
		after, _ := entryAt(next, e.Index)
		require.Contains(t, []consensus.Entry{before, after}, e)
	}
}

// requireRestarts opens a folder after a crash, and twice more with a Save before each.
func requireRestarts(t *testing.T, point savedState, folder *logstoretest.Recorder) {
	t.Helper()
	store, restored, err := logstore.Open(folder)
	require.NoError(t, err)
	requireConfirmed(t, point, restored)
	for range 2 {
		hardState := restored.HardState
		hardState.Term++
		entry := consensus.Entry{Index: lastIndex(restored) + 1, Term: hardState.Term, Data: []byte("after the crash")}
		hardState.CommitIndex = entry.Index
		out := consensus.Output{Entries: []consensus.Entry{entry}, HardState: &hardState}
		require.NoError(t, store.Save(&out))
		want := afterSave(restored, out)
		_, restored, err = logstore.Open(folder.AfterPowerLoss(folder.Operations(), nil))
		require.NoError(t, err)
		requireSameState(t, want, restored)
		store, restored, err = logstore.Open(folder)
		require.NoError(t, err)
		requireSameState(t, want, restored)
	}
}

// Guards against a folder that loses what was confirmed, or does not open, after a crash at
// any operation: a kill, a full disk in the middle of a write, and losses of power that keep
// some of what was not synced. Set BRAMLEY_CRASH_SEEDS for a longer run.
func TestEveryCrashPoint(t *testing.T) {
	seeds := uint64(defaultCrashSeeds)
	if text := os.Getenv(seedsVariable); text != "" {
		var err error
		seeds, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	crashes := 0
	for seed := range seeds {
		run := newStoreRun(t, seed)
		for range savesPerRun {
			run.saveRandom()
		}
		run.points = append(run.points, savedState{operations: run.recorder.Operations(), confirmed: run.state})
		for count := 0; count <= run.recorder.Operations(); count++ {
			point := run.pointAt(count)
			for name, folder := range run.crashesAt(count) {
				crashes++
				t.Run(fmt.Sprintf("seed %d operation %d %s", seed, count, name), func(t *testing.T) { requireRestarts(t, point, folder) })
				if t.Failed() {
					return
				}
			}
		}
	}
	t.Logf("%d crashes with %d seeds", crashes, seeds)
}

// pointAt returns what was confirmed when count operations were done.
func (r *storeRun) pointAt(count int) savedState {
	for _, point := range slices.Backward(r.points) {
		if point.operations == count {
			// The Save has not begun.
			return savedState{confirmed: point.confirmed}
		}
		if point.operations < count {
			return point
		}
	}
	return savedState{}
}

// crashesAt returns the folder after crashes when count operations were done.
func (r *storeRun) crashesAt(count int) map[string]*logstoretest.Recorder {
	folders := map[string]*logstoretest.Recorder{
		"kill": r.recorder.AfterKill(count, false), "full disk": r.recorder.AfterKill(count, true),
		"power loss, all gone": r.recorder.AfterPowerLoss(count, nil),
	}
	for i := range powerLossesAtEach {
		folders[fmt.Sprint("power loss ", i)] = r.recorder.AfterPowerLoss(count, r.random)
	}
	return folders
}
