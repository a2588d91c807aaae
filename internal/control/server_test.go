package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
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
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// patience bounds every wait; a passing run needs a small part of it.
const patience = 20 * time.Second

// fleet is a set of control replicas on loopback.
type fleet struct {
	t       testing.TB
	peers   map[vm.ID]string
	folders map[vm.ID]string
	servers map[vm.ID]*control.Server
	stops   map[vm.ID]func()
	change  func(*control.Options)
}

func newFleet(t testing.TB, count int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, peers: map[vm.ID]string{}, folders: map[vm.ID]string{},
		servers: map[vm.ID]*control.Server{}, stops: map[vm.ID]func(){}, change: func(*control.Options) {},
	}
	for i := range count {
		id := vm.ID(fmt.Sprintf("c%d", i+1))
		f.peers[id], f.folders[id] = freeAddress(t), t.TempDir()
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (f *fleet) start(ids ...vm.ID) {
	f.t.Helper()
	if len(ids) == 0 {
		for id := range f.peers {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		files, err := logstore.OpenFolder(f.folders[id])
		require.NoError(f.t, err)
		server, err := control.New(f.options(id, files))
		require.NoError(f.t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx) }()
		f.servers[id] = server
		f.stops[id] = func() {
			delete(f.stops, id)
			cancel()
			require.NoError(f.t, <-done)
		}
	}
}

func (f *fleet) options(id vm.ID, files logstore.FileSystem) control.Options {
	log, err := telemetry.NewLogger(io.Discard, "test", id, "info")
	require.NoError(f.t, err)
	options := control.Options{
		VM: id, Listen: f.peers[id], Peers: f.peers, Files: files, Log: log, Registry: metrics.NewRegistry(),
		ElectionTimeout: 300 * time.Millisecond, Heartbeat: 30 * time.Millisecond, RequestTimeout: patience,
		CompactEntries: 50,
	}
	f.change(&options)
	return options
}

// failingFolder fails every sync once fail is set.
type failingFolder struct {
	logstore.FileSystem
	fail atomic.Bool
}

func (f *failingFolder) Append(name string) (logstore.File, error) {
	file, err := f.FileSystem.Append(name)
	return &failingFile{File: file, folder: f}, err
}

type failingFile struct {
	logstore.File
	folder *failingFolder
}

func (f *failingFile) Sync() error {
	if f.folder.fail.Load() {
		return errors.New("sync failed")
	}
	return f.File.Sync()
}

// leader waits until a running replica knows a running leader.
func (f *fleet) leader() vm.ID {
	f.t.Helper()
	var leader vm.ID
	require.Eventually(f.t, func() bool {
		for id := range f.stops {
			known := f.servers[id].Status().Replica.Leader
			if _, running := f.stops[known]; running && f.servers[known].Status().Replica.Leader == known {
				leader = known
				return true
			}
		}
		return false
	}, patience, time.Millisecond)
	return leader
}

func (f *fleet) dial(id vm.ID, methods rpc.Methods) *rpc.Conn {
	f.t.Helper()
	conn, err := rpc.Dial(context.Background(), f.peers[id], nil, methods.SerialHandler())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func call[T any](t testing.TB, conn *rpc.Conn, method string, params any) T {
	t.Helper()
	var result T
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, conn.Call(ctx, method, params, &result))
	return result
}

func propose(t testing.TB, conn *rpc.Conn, c intent.Change) intent.Result {
	t.Helper()
	return call[intent.Result](t, conn, controlapi.IntentPropose, controlapi.ProposeRequest{Change: c})
}

func inventory(id string, base uint64) intent.Change {
	site := zone.ID{Region: "r", Name: "z"}
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindInventory,
		Inventory: &intent.Inventory{
			Services: []intent.ServiceEntry{{Name: "orders", Endpoint: service.Endpoint{
				Address: netip.MustParseAddrPort("10.0.0.1:443"), Protocol: service.TCP,
			}}},
			Machines: []intent.Machine{{
				ID: "u1", Address: netip.MustParseAddr("10.1.0.1"), Zone: site, Role: vm.RoleUpstream, Service: "orders", Slots: 7,
			}},
		},
	}
}

func traffic(id string, base uint64, enabled bool) intent.Change {
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: "orders", Enabled: enabled},
	}
}

// subscriber applies all updates in order, as a node does.
type subscriber struct {
	conn      *rpc.Conn
	mu        sync.Mutex
	state     *intent.State
	err       error
	snapshots int
	deltas    int
}

func (s *subscriber) take(u controlapi.IntentUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := u.Advance(s.state)
	if err != nil {
		s.err = err
		return
	}
	if s.state != nil && next.Revision < s.state.Revision {
		s.err = fmt.Errorf("revision went back from %d to %d", s.state.Revision, next.Revision)
	}
	s.state = next
	if u.Snapshot != nil {
		s.snapshots++
	} else if len(u.Changes) > 0 {
		s.deltas++
	}
}

func (s *subscriber) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision
}

func (f *fleet) subscribe(id vm.ID, s *subscriber) *rpc.Conn {
	conn := f.dial(id, rpc.Methods{
		controlapi.IntentUpdateNotification: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			u, err := rpc.Decode[controlapi.IntentUpdate](params)
			if err == nil {
				s.take(u)
			}
			return nil, err
		},
	})
	from := uint64(0)
	if s.state != nil {
		from = s.revision()
	}
	s.take(call[controlapi.IntentUpdate](f.t, conn, controlapi.IntentSubscribe, controlapi.SubscribeRequest{VM: "u1", Revision: from}))
	return conn
}

func (s *subscriber) waitFor(t *testing.T, revision uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.revision() >= revision }, patience, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NoError(t, s.err)
	require.Equal(t, revision, s.state.Revision)
}

func codeOf(err error) int64 {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return remote.Code
	}
	return 0
}

// Guards against a change or a first answer that is lost when a replica
// restarts, and against a dry run that changes something.
func TestSingleReplicaKeepsChangesAndAnswers(t *testing.T) {
	f := newFleet(t, 1)
	f.start()
	f.leader()
	conn := f.dial("c1", nil)
	s := &subscriber{}
	s.conn = f.subscribe("c1", s)

	var unnamed intent.Result
	err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventory("", 0)}, &unnamed)
	require.Equal(t, controlapi.CodeInvalid, codeOf(err))
	dry := call[intent.Result](t, conn, controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventory("dry", 0), DryRun: true})
	require.Equal(t, intent.Accepted, dry.Outcome)
	first := propose(t, conn, inventory("a", 0))
	require.Equal(t, intent.Result{Outcome: intent.Accepted, Revision: 1}, first)
	require.Equal(t, intent.Conflict, propose(t, conn, inventory("dry", 0)).Outcome, "a dry run must not be remembered")
	lost := propose(t, conn, inventory("b", 0))
	require.Equal(t, intent.Conflict, lost.Outcome)
	require.Equal(t, "a", lost.ConflictingChange.OperationID)
	require.EqualValues(t, 2, propose(t, conn, traffic("c", 1, false)).Revision)
	s.waitFor(t, 2)
	call[controlapi.IntentUpdate](t, s.conn, controlapi.IntentSubscribe, controlapi.SubscribeRequest{Revision: 2})
	require.Eventually(t, func() bool {
		counters := f.servers["c1"].Status().Counters
		return counters["control.subscriptions"] == 2 && counters["control.subscribers"] == 1
	}, patience, time.Millisecond, "a second subscription of a connection replaces the first")

	f.stops["c1"]()
	f.start("c1")
	f.leader()
	conn = f.dial("c1", nil)
	require.Equal(t, first, propose(t, conn, inventory("a", 0)))
	require.Equal(t, lost, propose(t, conn, inventory("b", 0)))
	state := call[intent.State](t, conn, controlapi.IntentGet, controlapi.GetRequest{Linearizable: true})
	require.EqualValues(t, 2, state.Revision)
	require.False(t, state.Services[0].Traffic)
	require.Equal(t, state.VMs, s.state.VMs)
	require.Equal(t, state.Services, s.state.Services)
	require.Len(t, call[[]intent.HistoryEntry](t, conn, controlapi.IntentHistory, controlapi.HistoryRequest{}), 2)
}
