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

func site() zone.ID { return zone.ID{Region: "r", Name: "z"} }

func inventoryOf(machines int) intent.Change {
	inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{
		Address: netip.MustParseAddrPort("10.0.0.1:443"), Protocol: service.TCP,
	}}}}
	for i := range machines {
		inv.Machines = append(inv.Machines, intent.Machine{ID: vm.ID(fmt.Sprint("u", i)), Zone: site(), Role: vm.RoleUpstream, Service: "orders"})
	}
	return intent.Change{OperationID: "inventory", Kind: intent.KindInventory, Inventory: inv}
}

func applied(t *testing.T, m *machine, c intent.Change) *machine {
	t.Helper()
	command, err := json.Marshal(c)
	require.NoError(t, err)
	next, result, err := m.apply(command)
	require.NoError(t, err)
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	return next
}

func rule(base uint64, padding int) intent.Change {
	return intent.Change{
		OperationID: fmt.Sprint("r", base), Operator: strings.Repeat("o", padding), BaseRevision: base,
		Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: "orders", Enabled: base%2 == 0},
	}
}

// updateOf returns an update as a subscriber decodes it.
func updateOf(t *testing.T, m *machine, from uint64) controlapi.IntentUpdate {
	t.Helper()
	u, err := m.update(from)
	require.NoError(t, err)
	snapshot, err := m.snapshot()
	require.NoError(t, err)
	require.LessOrEqual(t, len(u.Packed), len(snapshot))
	return unpacked(t, u)
}

// unpacked returns an update as a subscriber reads it.
func unpacked(t *testing.T, u controlapi.PackedUpdate) controlapi.IntentUpdate {
	t.Helper()
	data, err := json.Marshal(u)
	require.NoError(t, err)
	var decoded controlapi.IntentUpdate
	require.NoError(t, json.Unmarshal(data, &decoded))
	return decoded
}

// Guards against a catch-up that is larger than needed, has a gap or repeats
// revisions, also from a replica that was restored from a snapshot.
func TestUpdateIsTheSmallerOfDeltaAndSnapshot(t *testing.T) {
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
		"changes no longer kept":    {machines: 64, rules: 20, padding: recentBytes / 10, from: 8, snapshot: true},
		"latest changes still kept": {machines: 64, rules: 20, padding: 2000, from: 20, changes: 1},
		"from the start":            {machines: 1, rules: 100, from: 0, snapshot: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, err := decodeMachine(nil)
			require.NoError(t, err)
			m = applied(t, m, inventoryOf(c.machines))
			states := []*intent.State{{}, m.State.WithoutHistory()}
			for i := range c.rules {
				m = applied(t, m, rule(uint64(i+1), c.padding))
				states = append(states, m.State.WithoutHistory())
			}
			data, err := m.encode()
			require.NoError(t, err)
			restored, err := decodeMachine(data)
			require.NoError(t, err)
			for _, source := range []*machine{m, restored} {
				u := updateOf(t, source, c.from)
				require.Equal(t, c.snapshot, u.Snapshot != nil)
				require.Len(t, u.Changes, c.changes)
				require.Equal(t, max(c.from, m.State.Revision), u.ToRevision)
				require.LessOrEqual(t, source.recentSize, recentBytes)
				if c.from > m.State.Revision {
					continue
				}
				got, err := u.Advance(states[c.from])
				require.NoError(t, err)
				require.Equal(t, m.State.Revision, got.Revision)
				require.Equal(t, m.State.Services, got.Services)
				require.Equal(t, m.State.VMs, got.VMs)
			}
		})
	}
}

// Guards against a node that rejected a change of a delta and gets the same
// delta again.
func TestWholeStateOnRequest(t *testing.T) {
	m, err := decodeMachine(nil)
	require.NoError(t, err)
	m = applied(t, applied(t, m, inventoryOf(64)), rule(1, 0))
	small, err := m.update(1)
	require.NoError(t, err)
	require.Len(t, small.Changes, 1)
	for from, wanted := range []bool{true, true, false, false} {
		u, err := m.whole(uint64(from))
		require.NoError(t, err)
		require.Empty(t, u.Changes)
		require.Equal(t, wanted, unpacked(t, u).Snapshot != nil)
		require.EqualValues(t, max(from, 2), u.ToRevision)
	}
}

// Guards against a node that goes back or skips a revision when updates are
// repeated, late or missing.
func TestAdvance(t *testing.T) {
	m, err := decodeMachine(nil)
	require.NoError(t, err)
	m = applied(t, m, inventoryOf(64))
	early := updateOf(t, m, 0)
	for i := range uint64(5) {
		m = applied(t, m, rule(i+1, 0))
	}
	state, err := updateOf(t, m, 0).Advance(nil)
	require.NoError(t, err)
	require.EqualValues(t, 6, state.Revision)
	for _, u := range []controlapi.IntentUpdate{early, updateOf(t, m, 3), {Snapshot: &intent.State{Revision: 2}}} {
		again, err := u.Advance(state)
		require.NoError(t, err)
		require.Same(t, state, again)
	}
	var damaged controlapi.IntentUpdate
	require.ErrorContains(t, json.Unmarshal([]byte(`{"packed":"H4sI"}`), &damaged), "unpack update")
	_, err = updateOf(t, m, 4).Advance(&intent.State{Revision: 2})
	var gap *intent.OrderError
	require.ErrorAs(t, err, &gap)
}

// Guards against members that the inventory does not allow, that are older than
// a known announcement, or whose lease has ended.
func TestMemberTable(t *testing.T) {
	m, err := decodeMachine(nil)
	require.NoError(t, err)
	state := applied(t, m, inventoryOf(2)).State
	now := time.Unix(1000, 0)
	table := newMemberTable()
	member := func(id vm.ID, name service.Name, incarnation vm.Incarnation, version uint64) view.Member {
		return view.Member{VM: id, Role: vm.RoleUpstream, Zone: site(), Service: name, Incarnation: incarnation, Version: version, Status: view.Ready}
	}
	steps := []struct {
		what    string
		member  view.Member
		allowed bool
	}{
		{"unknown VM", member("u9", "orders", 1, 1), false},
		{"other service", member("u1", "kilnlog", 1, 1), false},
		{"allowed", member("u1", "orders", 2, 5), true},
		{"older incarnation", member("u1", "orders", 1, 9), false},
		{"older version", member("u1", "orders", 2, 4), false},
		{"renewed", member("u1", "orders", 2, 5), true},
		{"later incarnation", member("u1", "orders", 3, 1), true},
	}
	for _, s := range steps {
		require.Equal(t, s.allowed, table.announce(state, s.member, now).Allowed, s.what)
	}
	require.Len(t, table.list(state, now.Add(leaseTime-1)), 1)
	require.Empty(t, table.list(&intent.State{}, now), "a VM that left the inventory")
	require.Empty(t, table.list(state, now.Add(leaseTime)))
}
