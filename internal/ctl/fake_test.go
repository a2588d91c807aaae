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

// cluster is the state that the fake control servers of a test share.
type cluster struct {
	mu       sync.Mutex
	state    *intent.State
	members  []view.Member
	proposed []controlapi.ProposeRequest
	// subscribers get a notification for each accepted change.
	subscribers []*rpc.Conn
}

// current returns the state, which is not modified after it has been published.
func (c *cluster) current() *intent.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// takeProposed returns the proposals since the last call.
func (c *cluster) takeProposed() []controlapi.ProposeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.proposed
	c.proposed = nil
	return list
}

// fake is one control server, or a member if it is only asked as one.
type fake struct {
	cluster *cluster
	id      vm.ID
	role    vm.Role
	address string
	// before runs ahead of a proposal and can take the place of its answer.
	before func() error
	// loseAnswers closes the connection after that many accepted proposals.
	loseAnswers int
	events      []event.Event
}

func startFake(t *testing.T, c *cluster, id vm.ID, config *tls.Config) *fake {
	t.Helper()
	f := &fake{cluster: c, id: id, role: vm.RoleControl}
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

func (f *fake) methods() rpc.Methods {
	return rpc.Methods{
		controlapi.IntentPropose:   f.propose,
		controlapi.IntentSubscribe: f.subscribe,
		controlapi.IntentGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return f.cluster.current(), nil
		},
		controlapi.IntentHistory: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			req, err := rpc.Decode[controlapi.HistoryRequest](params)
			rows := f.cluster.current().History
			return rows[max(0, len(rows)-req.Limit):], err
		},
		controlapi.MembersList: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) { return f.cluster.members, nil },
		controlapi.StatusGet: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
			return controlapi.Status{VM: f.id, Role: f.role, Incarnation: 1, Revision: f.cluster.current().Revision}, nil
		},
		controlapi.EventsList: func(context.Context, *rpc.Conn, json.RawMessage) (any, error) { return f.events, nil },
		controlapi.ExplainFlow: func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			req, err := rpc.Decode[controlapi.ExplainRequest](params)
			return controlapi.Explanation{Node: string(f.id), Reasons: []string{"no hint for " + req.Caller.String()}}, err
		},
	}
}

func (f *fake) propose(_ context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
	req, err := rpc.Decode[controlapi.ProposeRequest](params)
	if err != nil {
		return nil, err
	}
	c := f.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.before != nil {
		if err := f.before(); err != nil {
			return nil, err
		}
	}
	c.proposed = append(c.proposed, req)
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
	if f.loseAnswers > 0 {
		f.loseAnswers--
		_ = conn.Close()
	}
	return result, nil
}

func (f *fake) subscribe(_ context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
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

// set changes the behaviour of the server.
func (f *fake) set(loseAnswers int, before func() error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.loseAnswers, f.before = loseAnswers, before
}

// answer makes before take the place of an answer a number of times.
func answer(times int, err *jsonrpc2.Error) func() error {
	return func() error {
		if times == 0 {
			return nil
		}
		times--
		return err
	}
}

// outcome is what one call of bramleyctl gave.
type outcome struct {
	code   int
	stdout string
	stderr string
}

func run(t *testing.T, args ...string) outcome {
	t.Helper()
	var stdout, stderr bytes.Buffer
	a := &app{stdout: &stdout, pause: func(context.Context, time.Duration) {}}
	code := a.run(context.Background(), append([]string{"bramleyctl"}, args...), &stderr)
	return outcome{code, stdout.String(), stderr.String()}
}

const example = "../../examples/scipalka-lesnina/inventory.csv"

// imported returns a cluster with one server at revision 1.
func imported(t *testing.T) (*cluster, *fake) {
	t.Helper()
	c := &cluster{state: &intent.State{}}
	f := startFake(t, c, "control-1", nil)
	o := run(t, "--control", f.address, "--operator", "iva", "inventory", "import", example, "--operation-id", "op-1")
	require.Equal(t, ExitOK, o.code, o.stderr)
	c.takeProposed()
	return c, f
}
