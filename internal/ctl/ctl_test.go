package ctl

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
)

// Guards against a change that is not sent as given, and against missing
// base revisions.
func TestChanges(t *testing.T) {
	c, f := imported(t)
	for _, step := range []struct {
		args  string
		shown string
	}{
		{"service traffic kilnlog off", "service kilnlog traffic off"},
		{"vm leave orders-3", "vm orders-3 leaves"},
		{"vm return orders-3", "vm orders-3 returns"},
		{"service contract orders --shape long", "shape=long queue-deadline=2s priority=survival"},
		{"service contract orders --idempotent --queue-deadline 0s", "idempotent=true shape=long queue-deadline=0s"},
		{"service contract orders --idempotent=false --priority balance", "idempotent=false shape=long queue-deadline=0s priority=balance"},
	} {
		before := c.current().Revision
		o := run(t, append([]string{"--control", f.address}, strings.Fields(step.args)...)...)
		require.Equal(t, ExitOK, o.code, o.stderr)
		require.Contains(t, o.stdout, step.shown)
		require.Equal(t, before+1, c.current().Revision)
	}
	kilnlog, _ := c.current().FindService("kilnlog")
	require.False(t, kilnlog.Traffic)
	orders, _ := c.current().FindService("orders")
	require.Equal(t, service.Contract{Shape: service.LongFlows, Priority: service.PreferBalance}, orders.Contract)
}

// Guards against a dry run that changes something.
func TestDryRun(t *testing.T) {
	c, f := imported(t)
	t.Setenv("BRAMLEY_DRY_RUN", "true")
	o := run(t, "--control", f.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, o.code, o.stderr)
	require.Contains(t, o.stdout, "would be accepted as revision 2")
	require.Equal(t, uint64(1), c.current().Revision)
	require.True(t, c.takeProposed()[0].DryRun)
}

// Guards against invalid settings that are reported one at a time or sent.
func TestUsage(t *testing.T) {
	t.Setenv("BRAMLEY_JSON", "maybe")
	t.Setenv("BRAMLEY_TIMEOUT", "soon")
	o := run(t, "--control", "here,192.0.2.1:7", "service", "contract", "--shape", "wide", "--queue-deadline", "31s",
		"--priority", "speed", "--base-revision", "x", "orders", "extra")
	require.Equal(t, ExitUsage, o.code)
	for _, want := range []string{
		"BRAMLEY_JSON", "BRAMLEY_TIMEOUT", `"here"`, "--keys", "--shape", "--queue-deadline", "--priority", "--base-revision", `unexpected argument "extra"`,
	} {
		require.Contains(t, o.stderr, want)
	}
	for _, args := range [][]string{{}, {"staus"}, {"vm"}, {"vm", "stop", "x"}, {"status", "--nope"}, {"service", "contract", "orders"}, {"history", "--limit", "0"}} {
		require.Equal(t, ExitUsage, run(t, args...).code, args)
	}
}

// Guards against exit codes and JSON errors that scripts cannot rely on.
func TestExitCodes(t *testing.T) {
	c, f := imported(t)
	stale := []string{"--control", f.address, "--json", "vm", "leave", "orders-1", "--base-revision", "0"}
	for name, step := range map[string]struct {
		args   []string
		before func() error
		code   int
		name   string
	}{
		"rejected by the server":  {[]string{"vm", "leave", "nobody"}, nil, ExitRejected, "rejected"},
		"unknown service":         {[]string{"service", "contract", "nobody", "--shape", "long"}, nil, ExitRejected, "rejected"},
		"invalid inventory":       {[]string{"inventory", "import", "../inventory/testdata/values.csv"}, nil, ExitRejected, "rejected"},
		"missing file":            {[]string{"inventory", "import", "absent.csv"}, nil, ExitFailure, "failure"},
		"invalid for the server":  {[]string{"vm", "leave", "orders-1"}, answer(1, &jsonrpc2.Error{Code: controlapi.CodeInvalid}), ExitRejected, "rejected"},
		"not authorised":          {[]string{"vm", "leave", "orders-1"}, answer(1, &jsonrpc2.Error{Code: controlapi.CodeNotAuthorized}), ExitNotAuthorized, "not authorised"},
		"no quorum":               {[]string{"vm", "leave", "orders-1"}, answer(-1, &jsonrpc2.Error{Code: controlapi.CodeUnavailable}), ExitUnavailable, "unavailable"},
		"conflict":                {stale[3:], nil, ExitConflict, "conflict"},
		"error of another nature": {[]string{"vm", "leave", "orders-1"}, answer(1, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError}), ExitFailure, "failure"},
	} {
		t.Run(name, func(t *testing.T) {
			f.set(0, step.before)
			o := run(t, append([]string{"--control", f.address, "--json"}, step.args...)...)
			require.Equal(t, step.code, o.code, o.stderr)
			var got failure
			require.NoError(t, json.Unmarshal([]byte(o.stderr), &got))
			require.Equal(t, step.name, got.Error)
			require.Equal(t, step.code, got.ExitCode)
			require.Equal(t, uint64(1), c.current().Revision)
		})
	}
	f.set(0, nil)
	o := run(t, append(stale[:2:2], stale[3:]...)...)
	require.Contains(t, o.stderr, `revision 1 was made by operation op-1 of operator "iva": inventory of 16 VMs and 2 services`)
}

// Guards against a change that is applied twice after a lost answer, or whose
// retry carries another operation id or base revision.
func TestLostAnswer(t *testing.T) {
	c, first := imported(t)
	second := startFake(t, c, "control-2", nil)
	first.set(1, nil)
	o := run(t, "--control", first.address+","+second.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, o.code, o.stderr)
	require.Equal(t, uint64(2), c.current().Revision)
	proposed := c.takeProposed()
	require.Len(t, proposed, 2)
	require.Equal(t, proposed[0], proposed[1])
}

// Guards against retries without bound, and against an unknown outcome that is
// reported as if nothing had happened.
func TestRetryBudget(t *testing.T) {
	c, f := imported(t)
	f.set(1000, nil)
	o := run(t, "--control", f.address, "--timeout", "30s", "vm", "leave", "orders-1", "--operation-id", "op-2")
	require.Equal(t, ExitUnavailable, o.code)
	require.Len(t, c.takeProposed(), 1+maxRetries)
	require.Contains(t, o.stderr, "the outcome is unknown; repeat the command with --operation-id op-2 --base-revision 1")
	f.set(0, nil)
	o = run(t, "--control", f.address, "vm", "leave", "orders-1", "--operation-id", "op-2", "--base-revision", "1")
	require.Equal(t, ExitOK, o.code, o.stderr)
	require.Equal(t, uint64(2), c.current().Revision)
}

// Guards against operators who must know the leader, and against two replicas
// that name each other.
func TestNotLeader(t *testing.T) {
	c, leader := imported(t)
	follower := startFake(t, c, "control-2", nil)
	names := func(address string) *jsonrpc2.Error {
		e := &jsonrpc2.Error{Code: controlapi.CodeNotLeader, Message: "not the leader"}
		e.SetError(controlapi.NotLeaderData{Address: address})
		return e
	}
	follower.set(0, answer(-1, names(leader.address)))
	o := run(t, "--control", follower.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, o.code, o.stderr)
	leader.set(0, answer(-1, names(follower.address)))
	o = run(t, "--control", follower.address, "vm", "return", "orders-1")
	require.Equal(t, ExitUnavailable, o.code)
	// A leader deposed while it commits also answers like this.
	require.Contains(t, o.stderr, "outcome is unknown")
	o = run(t, "--control", "127.0.0.1:1", "vm", "return", "orders-1")
	require.Equal(t, ExitUnavailable, o.code)
	require.Contains(t, o.stderr, "this command changed nothing")
	// Without TLS a server must not be able to send the client elsewhere.
	err := movedTo(names("192.0.2.1:7"), nil)
	var moved *leaderMovedError
	require.True(t, errors.As(err, &moved))
	require.Empty(t, moved.address)
}

// Guards against answers that scripts cannot parse.
func TestHistoryAndStatusJSON(t *testing.T) {
	_, f := imported(t)
	var rows []intent.HistoryEntry
	o := run(t, "history", "--json", "--control", f.address)
	require.NoError(t, json.Unmarshal([]byte(o.stdout), &rows))
	require.Equal(t, []intent.HistoryEntry{{Revision: 1, OperationID: "op-1", Operator: "iva", Summary: "inventory of 16 VMs and 2 services"}}, rows)
	var status statusAnswer
	o = run(t, "status", "--json", "--service", "kilnlog", "--control", f.address)
	require.NoError(t, json.Unmarshal([]byte(o.stdout), &status))
	require.Len(t, status.VMs, 3)
	require.Len(t, status.Processes, 1)
	require.Empty(t, status.Unanswered)
}
