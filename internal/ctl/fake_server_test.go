package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// fakeCluster is the state that the fake control servers of a test share.
type fakeCluster struct {
	mu        sync.Mutex
	state     *intent.State
	members   []view.Member
	proposals []controlapi.ProposeRequest
	// subscribers get a notification for each accepted change.
	subscribers []*rpc.Conn
}

// currentState returns the state. A published state is never modified.
func (c *fakeCluster) currentState() *intent.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// takeProposals returns and removes the proposals received since the last call.
func (c *fakeCluster) takeProposals() []controlapi.ProposeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	proposals := c.proposals
	c.proposals = nil
	return proposals
}

// fakeServer is one control server. A test can also list it as a member of the
// cluster, which is then called for its status, events and explanations.
type fakeServer struct {
	cluster *fakeCluster
	id      vm.ID
	role    vm.Role
	address string
	// beforePropose runs before a proposal is applied. If it returns an error,
	// the server returns that error instead.
	beforePropose func() error
	// responsesToDrop is the number of proposals to come that are applied but
	// whose response is lost, because the connection is closed.
	responsesToDrop int
	events          []event.Event
}

func startFakeServer(t *testing.T, c *fakeCluster, id vm.ID, config *tls.Config) *fakeServer {
	t.Helper()
	f := &fakeServer{cluster: c, id: id, role: vm.RoleControl}
	server, err := rpc.Listen("127.0.0.1:0", config, f.methods().Handler(), nil)
	require.NoError(t, err)
	f.address = server.Address().String()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.NoError(t, <-stopped)
	})
	return f
}

func (f *fakeServer) methods() rpc.Methods {
	return rpc.Methods{
		controlapi.IntentPropose:   f.propose,
		controlapi.IntentSubscribe: f.subscribe,
		controlapi.IntentGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return f.cluster.currentState(), nil
		},
		controlapi.IntentHistory: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			req, err := rpc.Decode[controlapi.HistoryRequest](params)
			rows := f.cluster.currentState().History
			return rows[max(0, len(rows)-req.Limit):], err
		},
		controlapi.MembersList: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) { return f.cluster.members, nil },
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return controlapi.Status{VM: f.id, Role: f.role, Incarnation: 1, Revision: f.cluster.currentState().Revision}, nil
		},
		controlapi.EventsList: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) { return f.events, nil },
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			req, err := rpc.Decode[controlapi.ExplainRequest](params)
			return controlapi.Explanation{Node: string(f.id), Reasons: []string{"no hint for " + req.Caller.String()}}, err
		},
	}
}

func (f *fakeServer) propose(_ context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
	req, err := rpc.Decode[controlapi.ProposeRequest](params)
	if err != nil {
		return nil, err
	}
	c := f.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.beforePropose != nil {
		if err := f.beforePropose(); err != nil {
			return nil, err
		}
	}
	c.proposals = append(c.proposals, req)
	next, result := intent.Apply(c.state, req.Change)
	if req.DryRun {
		return result, nil
	}
	accepted := next.Revision > c.state.Revision
	c.state = next
	for _, s := range slices.Clone(c.subscribers) {
		if accepted {
			_ = s.Notify(context.Background(), controlapi.IntentUpdateNotification, controlapi.IntentUpdate{
				FromRevision: next.Revision - 1, ToRevision: next.Revision, Changes: []intent.Change{req.Change},
			})
		}
	}
	if f.responsesToDrop > 0 {
		f.responsesToDrop--
		_ = conn.Close()
	}
	return result, nil
}

func (f *fakeServer) subscribe(_ context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
	req, err := rpc.Decode[controlapi.SubscribeRequest](params)
	c := f.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, conn)
	update := controlapi.IntentUpdate{FromRevision: req.Revision, ToRevision: c.state.Revision}
	if req.Revision < c.state.Revision {
		update.Snapshot = c.state
	}
	return update, err
}

// setFailures sets how the server fails proposals from now on.
func (f *fakeServer) setFailures(responsesToDrop int, beforePropose func() error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.responsesToDrop, f.beforePropose = responsesToDrop, beforePropose
}

// failTimes returns a function that returns err the given number of times. With
// -1 it always does.
func failTimes(times int, err *jsonrpc2.Error) func() error {
	return func() error {
		if times == 0 {
			return nil
		}
		times--
		return err
	}
}

// cliResult is the exit code and the output of one invocation of bramleyctl.
type cliResult struct {
	code   int
	stdout string
	stderr string
}

func runCLI(t *testing.T, args ...string) cliResult {
	t.Helper()
	var stdout, stderr bytes.Buffer
	a := &app{stdout: &stdout, sleep: func(context.Context, time.Duration) {}}
	code := a.run(context.Background(), append([]string{"bramleyctl"}, args...), &stderr)
	return cliResult{code, stdout.String(), stderr.String()}
}

const exampleInventory = "../../examples/scipalka-lesnina/inventory.csv"

// startImportedCluster returns a cluster with one server and the example inventory
// at revision 1.
func startImportedCluster(t *testing.T) (*fakeCluster, *fakeServer) {
	t.Helper()
	c := &fakeCluster{state: &intent.State{}}
	f := startFakeServer(t, c, "control-1", nil)
	result := runCLI(t, "--control", f.address, "--operator", "iva", "inventory", "import", exampleInventory, "--operation-id", "op-1")
	require.Equal(t, ExitOK, result.code, result.stderr)
	c.takeProposals()
	return c, f
}
