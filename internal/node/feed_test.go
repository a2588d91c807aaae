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

// buildAcceptedChanges returns the changes of revisions 1 to 5 and the states of
// revisions 0 to 5, as control stores them. The last change removes a VM.
func buildAcceptedChanges(t *testing.T) ([]intent.Change, []*intent.State) {
	t.Helper()
	inventory := func(machines ...vm.ID) intent.Change {
		inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{Address: testVirtual, Protocol: service.TCP}}}}
		for _, id := range machines {
			inv.VMs = append(inv.VMs, intent.InventoryVM{ID: id, Zone: testZone, Role: vm.RoleUpstream, Service: "orders"})
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

func newTestConfig(folder string) *Config {
	cfg := &Config{VM: "n", Zone: testZone, DataFolder: folder, Address: loopback, Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2}, Log: logrus.NewEntry(logrus.New())}
	cfg.setDefaults()
	return cfg
}

func newTestFeed(t *testing.T, folder string) *intentFeed {
	t.Helper()
	feed, err := newIntentFeed(newTestConfig(folder), func() {})
	require.NoError(t, err)
	return feed
}

// A node must apply all revisions in order and each update as a whole. It must not
// return to an earlier revision. It must apply every change that control accepted.
func TestFeedAppliesInOrder(t *testing.T) {
	changes, states := buildAcceptedChanges(t)
	delta := func(from, to uint64) controlapi.IntentUpdate {
		return controlapi.IntentUpdate{FromRevision: from, ToRevision: to, Changes: changes[from:to]}
	}
	snapshot := func(from, to uint64) controlapi.IntentUpdate {
		return controlapi.IntentUpdate{FromRevision: from, ToRevision: to, Snapshot: states[to]}
	}
	rejected := delta(2, 4)
	rejected.Changes = []intent.Change{changes[2], {BaseRevision: 3, Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: []intent.RemovedVM{{VM: "a", Reason: "left"}}}}}
	reusedID := delta(2, 4)
	reusedID.Changes = []intent.Change{changes[2], changes[3]}
	reusedID.Changes[0].OperationID, reusedID.Changes[1].OperationID = "same", "same"
	mislabeled := snapshot(2, 4)
	mislabeled.Snapshot = states[1]
	for name, c := range map[string]struct {
		update controlapi.IntentUpdate
		want   uint64
		fails  bool
	}{
		"next":                                   {delta(2, 3), 3, false},
		"VM removal included":                    {delta(2, 5), 5, false},
		"overlapping":                            {delta(0, 4), 4, false},
		"duplicate":                              {delta(1, 2), 2, false},
		"old":                                    {delta(0, 1), 2, false},
		"no new revision":                        {controlapi.IntentUpdate{FromRevision: 2, ToRevision: 2}, 2, false},
		"gap":                                    {delta(3, 4), 2, true},
		"gap without changes":                    {controlapi.IntentUpdate{FromRevision: 3, ToRevision: 4}, 2, true},
		"changes end before the target revision": {controlapi.IntentUpdate{FromRevision: 2, ToRevision: 4, Changes: changes[2:3]}, 2, true},
		"snapshot":                               {snapshot(0, 5), 5, false},
		"old snapshot":                           {snapshot(0, 1), 2, false},
		"old snapshot with a later target revision": {mislabeled, 2, true},
		"last change rejected":                      {rejected, 2, true},
		"reused operation id":                       {reusedID, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			feed := newTestFeed(t, t.TempDir())
			require.NoError(t, feed.applyUpdate(delta(0, 2)))
			err := feed.applyUpdate(c.update)
			require.Equal(t, c.fails, err != nil, "%v", err)
			require.Equal(t, c.fails, feed.needsSnapshot)
			requireEqualStates(t, states[c.want], feed.appliedState())
			requireEqualStates(t, states[c.want], newTestFeed(t, feed.cfg.DataFolder).appliedState())
			require.NoError(t, feed.applyUpdate(snapshot(0, 5)))
			requireEqualStates(t, states[5], feed.appliedState())
		})
	}
}

// requireEqualStates compares the encoded states.
func requireEqualStates(t *testing.T, want, got *intent.State) {
	t.Helper()
	wantJSON, err := json.Marshal(want)
	require.NoError(t, err)
	gotJSON, err := json.Marshal(got)
	require.NoError(t, err)
	require.JSONEq(t, string(wantJSON), string(gotJSON))
}

// A node must start although its saved intent is damaged. It must not use the damaged
// intent.
func TestDamagedIntentFile(t *testing.T) {
	_, states := buildAcceptedChanges(t)
	for name, damage := range map[string]func(content []byte) []byte{
		"empty":          func([]byte) []byte { return nil },
		"truncated":      func(content []byte) []byte { return content[:len(content)/2] },
		"one digit":      func(content []byte) []byte { content[len(content)-20] ^= 1; return content },
		"other content":  func([]byte) []byte { return []byte(`{"revision":7}`) },
		"trailing bytes": func(content []byte) []byte { return append(content, "}}"...) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, intentFileName)
			require.NoError(t, newIntentFile(folder).saveState(states[5]))
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, damage(content), 0o600))
			feed := newTestFeed(t, folder)
			require.Zero(t, feed.appliedState().Revision)
			require.Contains(t, feed.cfg.Events.List()[0].Reason, "is damaged")
			require.FileExists(t, path+".damaged")
			require.NoError(t, feed.applyUpdate(controlapi.IntentUpdate{ToRevision: 5, Snapshot: states[5]}))
			requireEqualStates(t, states[5], newTestFeed(t, folder).appliedState())
		})
	}
	folder := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(folder, intentFileName), 0o700))
	_, err := newIntentFeed(newTestConfig(folder), func() {})
	require.ErrorContains(t, err, "read saved intent", "a file that cannot be read is not damaged")
}

// An accepted change must be applied even if the data folder cannot be written. Once
// the folder is writable again, the state must be saved.
func TestDataFolderNotWritable(t *testing.T) {
	changes, states := buildAcceptedChanges(t)
	folder := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.WriteFile(folder, nil, 0o600))
	cfg := newTestConfig("")
	feed, err := newIntentFeed(cfg, func() {})
	require.NoError(t, err)
	feed.file = newIntentFile(folder)
	require.NoError(t, feed.applyUpdate(controlapi.IntentUpdate{ToRevision: 2, Changes: changes[:2]}))
	requireEqualStates(t, states[2], feed.appliedState())
	require.True(t, feed.unsaved)
	require.EqualValues(t, 1, (&base{cfg: *cfg}).Counters()["intent.save_failed"])
	require.NoError(t, os.Remove(folder))
	feed.saveState(feed.appliedState())
	require.False(t, feed.unsaved)
	requireEqualStates(t, states[2], newTestFeed(t, folder).appliedState())
}

// A state must be saved before it is used. Otherwise the node would return to the
// earlier revision after a crash in between.
func TestFeedSavesStateBeforeApplying(t *testing.T) {
	changes, states := buildAcceptedChanges(t)
	folder := t.TempDir()
	var feed *intentFeed
	var savedRevisions []uint64
	feed, err := newIntentFeed(newTestConfig(folder), func() {
		saved, err := newIntentFile(folder).loadState()
		require.NoError(t, err)
		requireEqualStates(t, feed.appliedState(), saved)
		savedRevisions = append(savedRevisions, saved.Revision)
	})
	require.NoError(t, err)
	for i := range changes {
		update := controlapi.IntentUpdate{FromRevision: uint64(i), ToRevision: uint64(i + 1), Changes: changes[i : i+1]}
		require.NoError(t, feed.applyUpdate(update))
	}
	require.Equal(t, []uint64{1, 2, 3, 4, 5}, savedRevisions)
	requireEqualStates(t, states[5], feed.appliedState())
}

// A node that restarts while control cannot be reached must have a view.
func TestRestartWithoutControl(t *testing.T) {
	_, states := buildAcceptedChanges(t)
	cfg := *newTestConfig(t.TempDir())
	cfg.Control = []string{"127.0.0.1:1"}
	require.NoError(t, newIntentFile(cfg.DataFolder).saveState(states[5]))
	source, err := udplink.OpenPackets(loopback, loopback)
	require.NoError(t, err)
	b, err := NewBalancer(cfg, source)
	require.NoError(t, err)
	t.Cleanup(func() { _ = source.Close(); _ = b.transport.link.Close(); _ = b.operatorServer.Close() })
	require.EqualValues(t, 5, b.latestView().Revision)
	require.NotNil(t, b.core.View().ServiceByEndpoint(service.Endpoint{Address: testVirtual, Protocol: service.TCP}))
}

// After a node has rejected a change in a delta, it must request a snapshot. Otherwise
// it would request the same delta forever. A node of an earlier version rejects a
// kind of change that it does not support.
func TestFeedRequestsSnapshotAfterRejectedChange(t *testing.T) {
	_, states := buildAcceptedChanges(t)
	unsupported := []intent.Change{{Kind: "later kind"}}
	var requests []controlapi.SubscribeRequest
	methods := rpc.Methods{controlapi.IntentSubscribe: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
		request, err := rpc.Decode[controlapi.SubscribeRequest](params)
		requests = append(requests, request)
		if request.Snapshot {
			return controlapi.IntentUpdate{ToRevision: 5, Snapshot: states[5]}, err
		}
		return controlapi.IntentUpdate{ToRevision: 1, Changes: unsupported}, err
	}}
	server, err := rpc.Listen(netip.AddrPortFrom(loopback.Addr(), 0).String(), nil, methods.Handler(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	feed := newTestFeed(t, "")
	require.ErrorContains(t, feed.subscribe(ctx, server.Address().String()), "unknown kind")
	followCtx, stop := context.WithCancel(ctx)
	feed.onApplied = stop
	require.NoError(t, feed.subscribe(followCtx, server.Address().String()))
	requireEqualStates(t, states[5], feed.appliedState())
	require.False(t, feed.needsSnapshot)
	require.NoError(t, server.Close())
	require.NoError(t, <-served)
	require.Equal(t, []controlapi.SubscribeRequest{{VM: "n"}, {VM: "n", Snapshot: true}}, requests)
}

// View builds must use only a small part of a core during a burst of member changes.
// A member change must not wait too long for its view.
func TestViewPause(t *testing.T) {
	for build, want := range map[time.Duration]time.Duration{
		0: minViewPause, 100 * time.Microsecond: minViewPause, 10 * time.Millisecond: 900 * time.Millisecond, time.Second: maxViewPause,
	} {
		require.Equal(t, want, viewPause(build), build)
	}
}
