package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

func testZone() zone.ID { return zone.ID{Region: "r", Name: "z"} }

func inventoryWithUpstreams(machines int) intent.Change {
	inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{
		Address: netip.MustParseAddrPort("10.0.0.1:443"), Protocol: service.TCP,
	}}}}
	for i := range machines {
		inv.VMs = append(inv.VMs, intent.InventoryVM{ID: vm.ID(fmt.Sprint("u", i)), Zone: testZone(), Role: vm.RoleUpstream, Service: "orders"})
	}
	return intent.Change{OperationID: "inventory", Kind: intent.KindInventory, Inventory: inv}
}

func mustApply(t *testing.T, m *stateMachine, c intent.Change) *stateMachine {
	t.Helper()
	command, err := json.Marshal(c)
	require.NoError(t, err)
	next, result, err := m.apply(command)
	require.NoError(t, err)
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	return next
}

func alternatingTrafficChange(base uint64, padding int) intent.Change {
	return intent.Change{
		OperationID: fmt.Sprint("r", base), Operator: strings.Repeat("o", padding), BaseRevision: base,
		Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: "orders", Enabled: base%2 == 0},
	}
}

// decodedUpdateFrom returns an update as a subscriber decodes it. It checks
// that the update is not larger than the packed state.
func decodedUpdateFrom(t *testing.T, m *stateMachine, from uint64) controlapi.IntentUpdate {
	t.Helper()
	u, err := m.updateFrom(from)
	require.NoError(t, err)
	snapshot, err := m.packedState()
	require.NoError(t, err)
	require.LessOrEqual(t, len(u.Packed), len(snapshot))
	return encodeAndDecode(t, u)
}

// encodeAndDecode returns an update as a subscriber decodes it.
func encodeAndDecode(t *testing.T, u controlapi.PackedUpdate) controlapi.IntentUpdate {
	t.Helper()
	data, err := json.Marshal(u)
	require.NoError(t, err)
	var decoded controlapi.IntentUpdate
	require.NoError(t, json.Unmarshal(data, &decoded))
	return decoded
}

// Guards against a catch-up that is larger than needed, skips revisions or
// repeats them. The replica may have been restored from a snapshot.
func TestUpdateIsSmallerOfDeltaAndSnapshot(t *testing.T) {
	cases := map[string]struct {
		machines, rules, padding int
		from                     uint64
		snapshot                 bool
		changes                  int
	}{
		"small delta":               {machines: 64, rules: 10, from: 5, changes: 6},
		"nothing missed":            {machines: 64, rules: 10, from: 11},
		"ahead of this replica":     {machines: 64, rules: 10, from: 15},
		"delta of one kilobyte":     {machines: 64, rules: 10, from: 2, changes: 9},
		"packed delta":              {machines: 64, rules: 25, from: 3, changes: 23},
		"delta larger than state":   {machines: 2, rules: 200, from: 1, snapshot: true},
		"changes no longer kept":    {machines: 64, rules: 20, padding: maxRecentBytes / 10, from: 8, snapshot: true},
		"latest changes still kept": {machines: 64, rules: 20, padding: 2000, from: 20, changes: 1},
		"from the start":            {machines: 1, rules: 100, from: 0, snapshot: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, err := decodeSnapshot(nil)
			require.NoError(t, err)
			m = mustApply(t, m, inventoryWithUpstreams(c.machines))
			stateAt := []*intent.State{{}, m.State.WithoutHistory()}
			for i := range c.rules {
				m = mustApply(t, m, alternatingTrafficChange(uint64(i+1), c.padding))
				stateAt = append(stateAt, m.State.WithoutHistory())
			}
			data, err := m.encodeSnapshot()
			require.NoError(t, err)
			restored, err := decodeSnapshot(data)
			require.NoError(t, err)
			for _, source := range []*stateMachine{m, restored} {
				update := decodedUpdateFrom(t, source, c.from)
				require.Equal(t, c.snapshot, update.Snapshot != nil)
				require.Len(t, update.Changes, c.changes)
				require.Equal(t, max(c.from, m.State.Revision), update.ToRevision)
				require.LessOrEqual(t, source.recentBytes, maxRecentBytes)
				if c.from > m.State.Revision {
					continue
				}
				got, err := update.Advance(stateAt[c.from])
				require.NoError(t, err)
				require.Equal(t, m.State.Revision, got.Revision)
				require.Equal(t, m.State.Services, got.Services)
				require.Equal(t, m.State.VMs, got.VMs)
			}
		})
	}
}

// Guards against a node that rejected a change of a delta and receives the
// same delta again.
func TestSnapshotOnRequest(t *testing.T) {
	m, err := decodeSnapshot(nil)
	require.NoError(t, err)
	m = mustApply(t, mustApply(t, m, inventoryWithUpstreams(64)), alternatingTrafficChange(1, 0))
	delta, err := m.updateFrom(1)
	require.NoError(t, err)
	require.Len(t, delta.Changes, 1)
	for from, wantSnapshot := range []bool{true, true, false, false} {
		update, err := m.snapshotUpdate(uint64(from))
		require.NoError(t, err)
		require.Empty(t, update.Changes)
		require.Equal(t, wantSnapshot, encodeAndDecode(t, update).Snapshot != nil)
		require.EqualValues(t, max(from, 2), update.ToRevision)
	}
}

// Guards against a node whose revision decreases or skips a value when updates
// are repeated, late or missing.
func TestSubscriberRevisionNeverDecreases(t *testing.T) {
	m, err := decodeSnapshot(nil)
	require.NoError(t, err)
	m = mustApply(t, m, inventoryWithUpstreams(64))
	firstUpdate := decodedUpdateFrom(t, m, 0)
	for i := range uint64(5) {
		m = mustApply(t, m, alternatingTrafficChange(i+1, 0))
	}
	state, err := decodedUpdateFrom(t, m, 0).Advance(nil)
	require.NoError(t, err)
	require.EqualValues(t, 6, state.Revision)
	for _, update := range []controlapi.IntentUpdate{firstUpdate, decodedUpdateFrom(t, m, 3), {Snapshot: &intent.State{Revision: 2}}} {
		unchanged, err := update.Advance(state)
		require.NoError(t, err)
		require.Same(t, state, unchanged)
	}
	var damaged controlapi.IntentUpdate
	require.ErrorContains(t, json.Unmarshal([]byte(`{"packed":"H4sI"}`), &damaged), "unpack update")
	_, err = decodedUpdateFrom(t, m, 4).Advance(&intent.State{Revision: 2})
	var revisionErr *intent.BaseRevisionError
	require.ErrorAs(t, err, &revisionErr)
}

// Guards against listing members that the inventory does not allow, whose
// announcement has expired, or whose announcement is older than the recorded
// one.
func TestAnnouncedMembers(t *testing.T) {
	m, err := decodeSnapshot(nil)
	require.NoError(t, err)
	state := mustApply(t, m, inventoryWithUpstreams(2)).State
	now := time.Unix(1000, 0)
	announced := newAnnouncedMembers()
	member := func(id vm.ID, name service.Name, incarnation vm.Incarnation, version uint64) view.Member {
		return view.Member{VM: id, Role: vm.RoleUpstream, Zone: testZone(), Service: name, Incarnation: incarnation, Version: version, Status: view.Ready}
	}
	steps := []struct {
		description string
		member      view.Member
		allowed     bool
	}{
		{"unknown VM", member("u9", "orders", 1, 1), false},
		{"other service", member("u1", "kilnlog", 1, 1), false},
		{"allowed", member("u1", "orders", 2, 5), true},
		{"older incarnation", member("u1", "orders", 1, 9), false},
		{"older version", member("u1", "orders", 2, 4), false},
		{"renewed", member("u1", "orders", 2, 5), true},
		{"later incarnation", member("u1", "orders", 3, 1), true},
	}
	for _, step := range steps {
		require.Equal(t, step.allowed, announced.announce(state, step.member, now).Allowed, step.description)
	}
	require.Len(t, announced.list(state, now.Add(memberTTL-1)), 1)
	require.Empty(t, announced.list(&intent.State{}, now), "a VM that was removed from the inventory")
	require.Empty(t, announced.list(state, now.Add(memberTTL)))
}
