package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// waitTimeout bounds every wait. A passing run needs a small part of it.
const waitTimeout = 20 * time.Second

// testCluster is a group of control replicas on loopback. stopFuncs has an
// entry for each running replica.
type testCluster struct {
	t           testing.TB
	addresses   map[vm.ID]string
	dataFolders map[vm.ID]string
	servers     map[vm.ID]*control.Server
	stopFuncs   map[vm.ID]func()
	editOptions func(*control.Options)
}

func newTestCluster(t testing.TB, count int) *testCluster {
	t.Helper()
	c := &testCluster{
		t: t, addresses: map[vm.ID]string{}, dataFolders: map[vm.ID]string{},
		servers: map[vm.ID]*control.Server{}, stopFuncs: map[vm.ID]func(){}, editOptions: func(*control.Options) {},
	}
	for i := range count {
		id := vm.ID(fmt.Sprintf("c%d", i+1))
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		c.addresses[id], c.dataFolders[id] = address.String(), t.TempDir()
	}
	t.Cleanup(func() {
		for _, stop := range c.stopFuncs {
			stop()
		}
	})
	return c
}

func (c *testCluster) start(ids ...vm.ID) {
	c.t.Helper()
	if len(ids) == 0 {
		for id := range c.addresses {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		files, err := logstore.OpenFolder(c.dataFolders[id])
		require.NoError(c.t, err)
		server, err := control.New(c.options(id, files))
		require.NoError(c.t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx) }()
		c.servers[id] = server
		c.stopFuncs[id] = func() {
			delete(c.stopFuncs, id)
			cancel()
			require.NoError(c.t, <-done)
		}
	}
}

func (c *testCluster) options(id vm.ID, files logstore.FileSystem) control.Options {
	log, err := telemetry.NewLogger(io.Discard, "test", id, "info")
	require.NoError(c.t, err)
	options := control.Options{
		VM: id, Listen: c.addresses[id], InitialPeers: c.addresses, Files: files, Log: log, Registry: metrics.NewRegistry(),
		ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond, RequestTimeout: waitTimeout,
		CompactEntries: 50,
	}
	c.editOptions(&options)
	return options
}

// failingStorage fails every sync while failSyncs is set.
type failingStorage struct {
	logstore.FileSystem
	failSyncs atomic.Bool
}

func (f *failingStorage) Append(name string) (logstore.File, error) {
	file, err := f.FileSystem.Append(name)
	return &failingFile{File: file, storage: f}, err
}

type failingFile struct {
	logstore.File
	storage *failingStorage
}

func (f *failingFile) Sync() error {
	if f.storage.failSyncs.Load() {
		return errors.New("sync failed")
	}
	return f.File.Sync()
}

// awaitLeader waits until a running replica reports a leader that is running
// and regards itself as the leader.
func (c *testCluster) awaitLeader() vm.ID {
	c.t.Helper()
	var leader vm.ID
	require.Eventually(c.t, func() bool {
		for id := range c.stopFuncs {
			reported := c.servers[id].Status().Replica.Leader
			if _, running := c.stopFuncs[reported]; running && c.servers[reported].Status().Replica.Leader == reported {
				leader = reported
				return true
			}
		}
		return false
	}, waitTimeout, time.Millisecond)
	return leader
}

func (c *testCluster) dial(id vm.ID, methods rpc.Methods) *rpc.Conn {
	c.t.Helper()
	conn, err := rpc.Dial(context.Background(), c.addresses[id], nil, methods.SerialHandler())
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func mustCall[T any](t testing.TB, conn *rpc.Conn, method string, params any) T {
	t.Helper()
	var result T
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, conn.Call(ctx, method, params, &result))
	return result
}

func mustPropose(t testing.TB, conn *rpc.Conn, c intent.Change) intent.Result {
	t.Helper()
	return mustCall[intent.Result](t, conn, controlapi.IntentPropose, controlapi.ProposeRequest{Change: c})
}

func inventoryChange(id string, base uint64) intent.Change {
	testZone := zone.ID{Region: "r", Name: "z"}
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindInventory,
		Inventory: &intent.Inventory{
			Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{
				Address: netip.MustParseAddrPort("10.0.0.1:443"), Protocol: service.TCP,
			}}},
			VMs: []intent.InventoryVM{{
				ID: "u1", Address: netip.MustParseAddr("10.1.0.1"), Zone: testZone, Role: vm.RoleUpstream, Service: "orders", Slots: 7,
			}},
		},
	}
}

func trafficChange(id string, base uint64, enabled bool) intent.Change {
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: "orders", Enabled: enabled},
	}
}

// subscriber applies all updates in order, as a node does. It records an error
// if the revision decreases.
type subscriber struct {
	conn      *rpc.Conn
	mu        sync.Mutex
	state     *intent.State
	err       error
	snapshots int
	deltas    int
}

func (s *subscriber) applyUpdate(update controlapi.IntentUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := update.Advance(s.state)
	if err != nil {
		s.err = err
		return
	}
	if s.state != nil && next.Revision < s.state.Revision {
		s.err = fmt.Errorf("revision decreased from %d to %d", s.state.Revision, next.Revision)
	}
	s.state = next
	if update.Snapshot != nil {
		s.snapshots++
	} else if len(update.Changes) > 0 {
		s.deltas++
	}
}

func (s *subscriber) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision
}

func (c *testCluster) subscribe(id vm.ID, s *subscriber) *rpc.Conn {
	conn := c.dial(id, rpc.Methods{
		controlapi.IntentUpdateNotification: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			update, err := rpc.Decode[controlapi.IntentUpdate](params)
			if err == nil {
				s.applyUpdate(update)
			}
			return nil, err
		},
	})
	from := uint64(0)
	if s.state != nil {
		from = s.revision()
	}
	s.applyUpdate(mustCall[controlapi.IntentUpdate](c.t, conn, controlapi.IntentSubscribe, controlapi.SubscribeRequest{VM: "u1", Revision: from}))
	return conn
}

func (s *subscriber) awaitRevision(t *testing.T, revision uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.revision() >= revision }, waitTimeout, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NoError(t, s.err)
	require.Equal(t, revision, s.state.Revision)
}

func errorCode(err error) int64 {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr.Code
	}
	return 0
}

// Guards against a change or a recorded result that is lost when a replica
// restarts. Also guards against a dry run that changes the state.
func TestRestartKeepsChangesAndResults(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.start()
	cluster.awaitLeader()
	conn := cluster.dial("c1", nil)
	s := &subscriber{}
	s.conn = cluster.subscribe("c1", s)

	var ignored intent.Result
	err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventoryChange("", 0)}, &ignored)
	require.Equal(t, controlapi.CodeInvalid, errorCode(err))
	dryRun := mustCall[intent.Result](t, conn, controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventoryChange("dry", 0), DryRun: true})
	require.Equal(t, intent.Accepted, dryRun.Outcome)
	first := mustPropose(t, conn, inventoryChange("a", 0))
	require.Equal(t, intent.Result{Outcome: intent.Accepted, Revision: 1}, first)
	require.Equal(t, intent.Conflict, mustPropose(t, conn, inventoryChange("dry", 0)).Outcome, "a dry run must not record its operation id")
	conflict := mustPropose(t, conn, inventoryChange("b", 0))
	require.Equal(t, intent.Conflict, conflict.Outcome)
	require.Equal(t, "a", conflict.ConflictingChange.OperationID)
	require.EqualValues(t, 2, mustPropose(t, conn, trafficChange("c", 1, false)).Revision)
	s.awaitRevision(t, 2)
	mustCall[controlapi.IntentUpdate](t, s.conn, controlapi.IntentSubscribe, controlapi.SubscribeRequest{Revision: 2})
	require.Eventually(t, func() bool {
		counters := cluster.servers["c1"].Status().Counters
		return counters["control.subscriptions"] == 2 && counters["control.subscribers"] == 1
	}, waitTimeout, time.Millisecond, "a second subscription of a connection must replace the first")

	cluster.stopFuncs["c1"]()
	cluster.start("c1")
	cluster.awaitLeader()
	conn = cluster.dial("c1", nil)
	require.Equal(t, first, mustPropose(t, conn, inventoryChange("a", 0)))
	require.Equal(t, conflict, mustPropose(t, conn, inventoryChange("b", 0)))
	state := mustCall[intent.State](t, conn, controlapi.IntentGet, controlapi.GetRequest{Linearizable: true})
	require.EqualValues(t, 2, state.Revision)
	require.False(t, state.Services[0].Traffic)
	require.Equal(t, state.VMs, s.state.VMs)
	require.Equal(t, state.Services, s.state.Services)
	require.Len(t, mustCall[[]intent.HistoryEntry](t, conn, controlapi.IntentHistory, controlapi.HistoryRequest{}), 2)
}
