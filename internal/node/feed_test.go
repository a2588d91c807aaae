package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// acceptedChanges are the changes of revisions 1 to 5 and the states of
// revisions 0 to 5, as control has them. The last change forgets a VM.
func acceptedChanges(t *testing.T) ([]intent.Change, []*intent.State) {
	t.Helper()
	inventory := func(machines ...vm.ID) intent.Change {
		inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{Address: testVirtual, Protocol: service.TCP}}}}
		for _, id := range machines {
			inv.Machines = append(inv.Machines, intent.Machine{ID: id, Zone: testZone, Role: vm.RoleUpstream, Service: "orders"})
		}
		return intent.Change{Kind: intent.KindInventory, Inventory: inv}
	}
	traffic := func(on bool) intent.Change {
		return intent.Change{Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: "orders", Enabled: on}}
	}
	changes := []intent.Change{
		inventory("a", "b"), traffic(false), inventory("a"), traffic(true),
		{Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: []intent.RemovedVM{{VM: "b", Reason: "left"}}}},
	}
	states := []*intent.State{{}}
	for i := range changes {
		changes[i].BaseRevision = uint64(i)
		next, result := intent.Apply(states[i], changes[i])
		require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
		states = append(states, next.WithoutHistory())
	}
	return changes, states
}

func testConfig(folder string) *Config {
	cfg := &Config{VM: "n", Zone: testZone, DataFolder: folder, Address: loopback, Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2}, Log: logrus.NewEntry(logrus.New())}
	cfg.setDefaults()
	return cfg
}

func openFeed(t *testing.T, folder string) *feed {
	t.Helper()
	f, err := newFeed(testConfig(folder), func() {})
	require.NoError(t, err)
	return f
}

// Guards against a node that skips a revision, goes back, stops at a change that
// control has accepted, or uses a part of an update.
func TestFeedAppliesInOrder(t *testing.T) {
	changes, states := acceptedChanges(t)
	delta := func(from, to uint64) controlapi.IntentUpdate {
		return controlapi.IntentUpdate{FromRevision: from, ToRevision: to, Changes: changes[from:to]}
	}
	snapshot := func(from, to uint64) controlapi.IntentUpdate {
		return controlapi.IntentUpdate{FromRevision: from, ToRevision: to, Snapshot: states[to]}
	}
	rejected := delta(2, 4)
	rejected.Changes = []intent.Change{changes[2], {BaseRevision: 3, Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: []intent.RemovedVM{{VM: "a", Reason: "left"}}}}}
	reused := delta(2, 4)
	reused.Changes = []intent.Change{changes[2], changes[3]}
	reused.Changes[0].OperationID, reused.Changes[1].OperationID = "same", "same"
	older := snapshot(2, 4)
	older.Snapshot = states[1]
	for name, c := range map[string]struct {
		update controlapi.IntentUpdate
		want   uint64
		fails  bool
	}{
		"next":                       {delta(2, 3), 3, false},
		"forget included":            {delta(2, 5), 5, false},
		"overlapping":                {delta(0, 4), 4, false},
		"duplicate":                  {delta(1, 2), 2, false},
		"old":                        {delta(0, 1), 2, false},
		"nothing missed":             {controlapi.IntentUpdate{FromRevision: 2, ToRevision: 2}, 2, false},
		"gap":                        {delta(3, 4), 2, true},
		"gap without changes":        {controlapi.IntentUpdate{FromRevision: 3, ToRevision: 4}, 2, true},
		"less than named":            {controlapi.IntentUpdate{FromRevision: 2, ToRevision: 4, Changes: changes[2:3]}, 2, true},
		"snapshot":                   {snapshot(0, 5), 5, false},
		"old snapshot":               {snapshot(0, 1), 2, false},
		"old snapshot, named later":  {older, 2, true},
		"rejected at the end":        {rejected, 2, true},
		"operation id that was used": {reused, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := openFeed(t, t.TempDir())
			require.NoError(t, f.apply(delta(0, 2)))
			err := f.apply(c.update)
			require.Equal(t, c.fails, err != nil, "%v", err)
			require.Equal(t, c.fails, f.wantSnapshot)
			requireState(t, states[c.want], f.current())
			requireState(t, states[c.want], openFeed(t, f.cfg.DataFolder).current())
			require.NoError(t, f.apply(snapshot(0, 5)))
			requireState(t, states[5], f.current())
		})
	}
}

// requireState compares what nodes need.
func requireState(t *testing.T, want, got *intent.State) {
	t.Helper()
	a, err := json.Marshal(want)
	require.NoError(t, err)
	b, err := json.Marshal(got)
	require.NoError(t, err)
	require.JSONEq(t, string(a), string(b))
}

// Guards against a node that does not start, or starts with a wrong intent,
// because of its saved copy.
func TestDamagedIntentFile(t *testing.T) {
	_, states := acceptedChanges(t)
	for name, damage := range map[string]func(b []byte) []byte{
		"empty":          func([]byte) []byte { return nil },
		"torn":           func(b []byte) []byte { return b[:len(b)/2] },
		"one digit":      func(b []byte) []byte { b[len(b)-20] ^= 1; return b },
		"other content":  func([]byte) []byte { return []byte(`{"revision":7}`) },
		"trailing bytes": func(b []byte) []byte { return append(b, "}}"...) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, intentFileName)
			require.NoError(t, newIntentFile(folder).save(states[5]))
			b, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, damage(b), 0o600))
			f := openFeed(t, folder)
			require.Zero(t, f.current().Revision)
			require.Contains(t, f.cfg.Events.List()[0].Reason, "is damaged")
			require.FileExists(t, path+".damaged")
			require.NoError(t, f.apply(controlapi.IntentUpdate{ToRevision: 5, Snapshot: states[5]}))
			requireState(t, states[5], openFeed(t, folder).current())
		})
	}
	folder := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(folder, intentFileName), 0o700))
	_, err := newFeed(testConfig(folder), func() {})
	require.ErrorContains(t, err, "read saved intent", "a file that cannot be read is not damaged")
}

// Guards against an accepted change that is not in force because the disk is
// full, and against a state that stays unsaved afterwards.
func TestDataFolderNotWritable(t *testing.T) {
	changes, states := acceptedChanges(t)
	folder := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.WriteFile(folder, nil, 0o600))
	cfg := testConfig("")
	f, err := newFeed(cfg, func() {})
	require.NoError(t, err)
	f.store = newIntentFile(folder)
	require.NoError(t, f.apply(controlapi.IntentUpdate{ToRevision: 2, Changes: changes[:2]}))
	requireState(t, states[2], f.current())
	require.True(t, f.unsaved)
	require.EqualValues(t, 1, (&base{cfg: *cfg}).Counters()["intent.save_failed"])
	require.NoError(t, os.Remove(folder))
	f.save(f.current())
	require.False(t, f.unsaved)
	requireState(t, states[2], openFeed(t, folder).current())
}

// Guards against a state that is in use before it is saved: a crash in between
// would bring the node back to the earlier revision.
func TestFeedSavesBeforeUse(t *testing.T) {
	changes, states := acceptedChanges(t)
	folder := t.TempDir()
	var f *feed
	var seen []uint64
	f, err := newFeed(testConfig(folder), func() {
		saved, err := newIntentFile(folder).load()
		require.NoError(t, err)
		requireState(t, f.current(), saved)
		seen = append(seen, saved.Revision)
	})
	require.NoError(t, err)
	for i := range changes {
		u := controlapi.IntentUpdate{FromRevision: uint64(i), ToRevision: uint64(i + 1), Changes: changes[i : i+1]}
		require.NoError(t, f.apply(u))
	}
	require.Equal(t, []uint64{1, 2, 3, 4, 5}, seen)
	requireState(t, states[5], f.current())
}

// Guards against a node that has no view after a restart while control cannot
// be reached.
func TestRestartWithoutControl(t *testing.T) {
	_, states := acceptedChanges(t)
	cfg := *testConfig(t.TempDir())
	cfg.Control = []string{"127.0.0.1:1"}
	require.NoError(t, newIntentFile(cfg.DataFolder).save(states[5]))
	source, err := udplink.OpenPackets(loopback, loopback)
	require.NoError(t, err)
	b, err := NewBalancer(cfg, source)
	require.NoError(t, err)
	t.Cleanup(func() { _ = source.Close(); _ = b.transport.link.Close(); _ = b.admin.Close() })
	require.EqualValues(t, 5, b.latest().Revision)
	require.NotNil(t, b.core.View().ServiceByEndpoint(service.Endpoint{Address: testVirtual, Protocol: service.TCP}))
}

// Guards against a node that asks for the same delta for ever after a change in
// it was rejected here, for example by an earlier version.
func TestFeedAsksForSnapshotAfterRejection(t *testing.T) {
	_, states := acceptedChanges(t)
	unknown := []intent.Change{{Kind: "later kind"}}
	var requests []controlapi.SubscribeRequest
	methods := rpc.Methods{controlapi.IntentSubscribe: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
		request, err := rpc.Decode[controlapi.SubscribeRequest](params)
		requests = append(requests, request)
		if request.Snapshot {
			return controlapi.IntentUpdate{ToRevision: 5, Snapshot: states[5]}, err
		}
		return controlapi.IntentUpdate{ToRevision: 1, Changes: unknown}, err
	}}
	server, err := rpc.Listen(netip.AddrPortFrom(loopback.Addr(), 0).String(), nil, methods.Handler(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	f := openFeed(t, "")
	require.ErrorContains(t, f.subscribe(ctx, server.Address().String()), "unknown kind")
	following, stop := context.WithCancel(ctx)
	f.changed = stop
	require.NoError(t, f.subscribe(following, server.Address().String()))
	requireState(t, states[5], f.current())
	require.False(t, f.wantSnapshot)
	require.NoError(t, server.Close())
	require.NoError(t, <-served)
	require.Equal(t, []controlapi.SubscribeRequest{{VM: "n"}, {VM: "n", Snapshot: true}}, requests)
}

// Guards against a burst of member changes that takes more of a core for views
// than a node may spend on control, and against a change that waits too long.
func TestViewPause(t *testing.T) {
	for build, want := range map[time.Duration]time.Duration{
		0: viewInterval, 100 * time.Microsecond: viewInterval, 10 * time.Millisecond: 900 * time.Millisecond, time.Second: viewIntervalLimit,
	} {
		require.Equal(t, want, viewPause(build), build)
	}
}
