package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/zone"
)

func zoneOrderCommand(t *testing.T, name string, out bool, afterOrders uint64) []byte {
	command, err := encodeCommand(intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: "desired", Name: name, Out: out, AfterOrders: &afterOrders}})
	require.NoError(t, err)
	return command
}

// A zone order must survive compaction, later desired states and the replay of a log in
// which desired states supersede others. Names that occur elsewhere in commands, or that
// have a slash, must not confuse any of these.
func TestZoneOrdersAreKept(t *testing.T) {
	desired := func(version uint64) []byte {
		command, err := encodeCommand(intent.Change{Kind: intent.KindDesired, Desired: &intent.DesiredState{Version: version, Document: []byte("{}")}})
		require.NoError(t, err)
		return command
	}
	commands := [][]byte{
		desired(1), zoneOrderCommand(t, "desired", true, 0), desired(2), zoneOrderCommand(t, "version", true, 0),
		zoneOrderCommand(t, "a/b", true, 0), zoneOrderCommand(t, "version", false, 1), desired(3),
	}
	entries := make([]consensus.Entry, len(commands))
	for i, command := range commands {
		entries[i] = consensus.Entry{Kind: consensus.KindCommand, Data: command}
	}
	superseded := supersededVersions(entries)
	require.Equal(t, []uint64{1, 0, 2, 0, 0, 0, 0}, superseded)

	m, err := decodeSnapshot(nil)
	require.NoError(t, err)
	want := []zone.ID{{Region: "desired", Name: "a/b"}, {Region: "desired", Name: "desired"}}
	for i, command := range commands {
		if superseded[i] > 0 {
			m, _ = m.applySuperseded(superseded[i])
		} else {
			m, _, err = m.apply(command)
			require.NoError(t, err)
		}
		data, err := m.encodeSnapshot()
		require.NoError(t, err)
		restored, err := decodeSnapshot(data)
		require.NoError(t, err)
		require.Equal(t, m.State, restored.State, "entry %d", i)
		m = restored
	}
	require.Equal(t, want, m.State.ZonesOut())
	require.EqualValues(t, 2, m.State.ZoneState(zone.ID{Region: "desired", Name: "version"}).Orders)
	require.EqualValues(t, 7, m.State.Revision)
	require.EqualValues(t, 3, m.State.Desired.Version)
}

// A node that subscribes must learn of a zone order, whether its control process sends a
// delta or the whole state.
func TestSubscribersLearnOfZoneOrders(t *testing.T) {
	m, err := decodeSnapshot(nil)
	require.NoError(t, err)
	m = mustApply(t, m, inventoryWithUpstreams(3))
	before := m.State.WithoutHistory()
	m = mustApply(t, m, intent.Change{
		OperationID: "out", BaseRevision: 1, Kind: intent.KindZone,
		Zone: &intent.ZoneOrder{Region: testZone().Region, Name: testZone().Name, Out: true},
	})
	got, err := decodedUpdateFrom(t, m, 1).Advance(before)
	require.NoError(t, err)
	require.Equal(t, m.State.Zones, got.Zones)
	m = mustApply(t, m, alternatingTrafficChange(2, 0))
	next, _, err := m.apply(zoneOrderCommand(t, "other", true, 0))
	require.NoError(t, err)
	update := decodedUpdateFrom(t, next, 1)
	require.NotNil(t, update.Snapshot, "an order without a base revision is not part of a delta")
	got, err = update.Advance(before)
	require.NoError(t, err)
	require.Equal(t, next.State.Zones, got.Zones)
}

// A zone order must outlast the replacement of the log by a snapshot and the replacement
// of a voter: the new one gets the snapshot.
func TestZoneOrderOutlastsCompactionAndVoter(t *testing.T) {
	g := newRaftGroup(t)
	g.start(3, 0)
	const timeout, interval = 10 * time.Second, time.Millisecond
	require.Eventually(t, func() bool { return g.propose(1) }, timeout, interval)
	encoded, err := EncodeChange(intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: "r", Name: "z", Out: true, AfterOrders: new(uint64)}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		result, err := leader.Propose(t.Context(), encoded)
		return err == nil && result.Outcome == intent.Accepted
	}, timeout, interval)
	for version := uint64(2); version < 2+2*g.compactEntries; version++ {
		require.Eventually(t, func() bool { return g.propose(version) }, timeout, interval)
	}
	g.startReplica(3)
	g.disks[replicaName(0)].SetFull(true)
	require.Eventually(t, func() bool {
		g.propose(1000)
		g.mu.Lock()
		node := g.nodes[replicaName(3)]
		g.mu.Unlock()
		if node == nil {
			return false
		}
		state := node.State()
		return slices.Contains(state.Voters, state.Self) && state.SnapshotIndex > 0 && slices.Equal(state.State.ZonesOut(), []zone.ID{testZone()})
	}, timeout, 10*time.Millisecond)
}
