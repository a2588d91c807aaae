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
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Guards against a command that proposes another change than its arguments state,
// or that sends no base revision.
func TestChangeCommandsProposeOneRevisionEach(t *testing.T) {
	c, f := startImportedCluster(t)
	for _, step := range []struct {
		args  string
		shown string
	}{
		{"service traffic kilnlog off", "service kilnlog traffic off"},
		{"vm leave orders-3", "vm orders-3 leaves"},
		{"vm return orders-3", "vm orders-3 returns"},
		{"zone drain kamnik/smarca", "zone kamnik/smarca out of service"},
		{"zone return kamnik/smarca", "zone kamnik/smarca in service"},
		{"zone drain kamnik/mesto", "zone kamnik/mesto out of service"},
		{"service contract orders --shape long", "shape=long queue-deadline=2s priority=survival"},
		{"service contract orders --warm-up 30s --warm-up-rate 2.5", "priority=survival warm-up=30s warm-up-rate=2.5/s"},
		{"service contract orders --warm-up 0s --warm-up-rate 0", "priority=survival"},
		{"service contract orders --idempotent --queue-deadline 0s", "idempotent=true shape=long queue-deadline=0s"},
		{"service contract orders --idempotent=false --priority balance", "idempotent=false shape=long queue-deadline=0s priority=balance"},
	} {
		revisionBefore := c.currentState().Revision
		result := runCLI(t, append([]string{"--control", f.address}, strings.Fields(step.args)...)...)
		require.Equal(t, ExitOK, result.code, result.stderr)
		require.Contains(t, result.stdout, step.shown)
		require.Equal(t, revisionBefore+1, c.currentState().Revision)
	}
	kilnlog, _ := c.currentState().FindService("kilnlog")
	require.False(t, kilnlog.Traffic)
	require.Equal(t, []zone.ID{{Region: "kamnik", Name: "mesto"}}, c.currentState().ZonesOut())
	var zones zonesOutput
	shown := runCLI(t, "zone", "status", "--json", "--control", f.address)
	require.NoError(t, json.Unmarshal([]byte(shown.stdout), &zones))
	require.Equal(t, zoneStatus{Zone: zone.ID{Region: "kamnik", Name: "smarca"}, Upstreams: 3, Orders: 2}, zones.Zones[2])
	require.True(t, zones.Zones[1].Out)
	shown = runCLI(t, "zone", "status", "--control", f.address)
	require.Regexp(t, `kamnik/mesto +out`, shown.stdout)
	orders, _ := c.currentState().FindService("orders")
	require.Equal(t, service.Contract{Shape: service.ShapeLongFlows, Priority: service.PriorityBalance}, orders.Contract)
}

// Guards against a dry run that changes the state.
func TestDryRunChangesNothing(t *testing.T) {
	c, f := startImportedCluster(t)
	t.Setenv("BRAMLEY_DRY_RUN", "true")
	result := runCLI(t, "--control", f.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, result.code, result.stderr)
	require.Contains(t, result.stdout, "would be accepted as revision 2")
	require.Equal(t, uint64(1), c.currentState().Revision)
	require.True(t, c.takeProposals()[0].DryRun)
}

// Guards against a command that reports only the first of several invalid
// settings, or sends a request despite them.
func TestAllInvalidSettingsAreReportedTogether(t *testing.T) {
	t.Setenv("BRAMLEY_JSON", "maybe")
	t.Setenv("BRAMLEY_TIMEOUT", "soon")
	result := runCLI(t, "--control", "here,192.0.2.1:7", "service", "contract", "--shape", "wide", "--queue-deadline", "31s",
		"--priority", "speed", "--base-revision", "x", "orders", "extra")
	require.Equal(t, ExitUsage, result.code)
	for _, want := range []string{
		"BRAMLEY_JSON", "BRAMLEY_TIMEOUT", `"here"`, "--keys", "--shape", "--queue-deadline", "--priority", "--base-revision", `unexpected argument "extra"`,
	} {
		require.Contains(t, result.stderr, want)
	}
	for _, args := range [][]string{{}, {"staus"}, {"vm"}, {"vm", "stop", "x"}, {"zone", "drain", "mesto"}, {"zone", "drain"}, {"status", "--nope"}, {"service", "contract", "orders"}, {"history", "--limit", "0"}} {
		require.Equal(t, ExitUsage, runCLI(t, args...).code, args)
	}
}

// Guards against an error that maps to the wrong exit code or JSON error name.
func TestExitCodesAndJSONErrors(t *testing.T) {
	c, server := startImportedCluster(t)
	staleChange := []string{"--control", server.address, "--json", "vm", "leave", "orders-1", "--base-revision", "0"}
	for name, step := range map[string]struct {
		args   []string
		before func() error
		code   int
		name   string
	}{
		"rejected by the server": {[]string{"vm", "leave", "nobody"}, nil, ExitRejected, "rejected"},
		"unknown zone":           {[]string{"zone", "drain", "kamnik/elsewhere"}, nil, ExitRejected, "rejected"},
		"unknown service":        {[]string{"service", "contract", "nobody", "--shape", "long"}, nil, ExitRejected, "rejected"},
		"invalid inventory":      {[]string{"inventory", "import", "../inventory/testdata/values.csv"}, nil, ExitRejected, "rejected"},
		"missing file":           {[]string{"inventory", "import", "absent.csv"}, nil, ExitFailure, "failure"},
		"invalid for the server": {[]string{"vm", "leave", "orders-1"}, failTimes(1, &jsonrpc2.Error{Code: controlapi.CodeInvalid}), ExitRejected, "rejected"},
		"not authorised":         {[]string{"vm", "leave", "orders-1"}, failTimes(1, &jsonrpc2.Error{Code: controlapi.CodeNotAuthorized}), ExitNotAuthorized, "not authorised"},
		"no quorum":              {[]string{"vm", "leave", "orders-1"}, failTimes(-1, &jsonrpc2.Error{Code: controlapi.CodeUnavailable}), ExitUnavailable, "unavailable"},
		"conflict":               {staleChange[3:], nil, ExitConflict, "conflict"},
		"any other server error": {[]string{"vm", "leave", "orders-1"}, failTimes(1, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError}), ExitFailure, "failure"},
	} {
		t.Run(name, func(t *testing.T) {
			server.setFailures(0, step.before)
			result := runCLI(t, append([]string{"--control", server.address, "--json"}, step.args...)...)
			require.Equal(t, step.code, result.code, result.stderr)
			var got errorOutput
			require.NoError(t, json.Unmarshal([]byte(result.stderr), &got))
			require.Equal(t, step.name, got.Error)
			require.Equal(t, step.code, got.ExitCode)
			require.Equal(t, uint64(1), c.currentState().Revision)
		})
	}
	server.setFailures(0, nil)
	result := runCLI(t, append(staleChange[:2:2], staleChange[3:]...)...)
	require.Contains(t, result.stderr, `revision 1 was made by operation op-1 of operator "iva": inventory of 16 VMs and 2 services`)
}

// Guards against a change that is applied twice when the response is lost and the
// client retries. The retry must carry the same operation ID and base revision.
func TestRetryAfterLostResponseAppliesOnce(t *testing.T) {
	c, first := startImportedCluster(t)
	second := startFakeServer(t, c, "control-2", nil)
	first.setFailures(1, nil)
	result := runCLI(t, "--control", first.address+","+second.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, result.code, result.stderr)
	require.Equal(t, uint64(2), c.currentState().Revision)
	proposals := c.takeProposals()
	require.Len(t, proposals, 2)
	require.Equal(t, proposals[0], proposals[1])
}

// Guards against unbounded retries. Also guards against an error that claims that
// nothing was changed although a proposal may have been executed.
func TestRetriesAreBoundedAndOutcomeIsUnknown(t *testing.T) {
	c, server := startImportedCluster(t)
	server.setFailures(1000, nil)
	result := runCLI(t, "--control", server.address, "--timeout", "30s", "vm", "leave", "orders-1", "--operation-id", "op-2")
	require.Equal(t, ExitUnavailable, result.code)
	require.Len(t, c.takeProposals(), 1+initialRetryBudget)
	require.Contains(t, result.stderr, "the outcome is unknown; repeat the command with --operation-id op-2 --base-revision 1")
	server.setFailures(0, nil)
	result = runCLI(t, "--control", server.address, "vm", "leave", "orders-1", "--operation-id", "op-2", "--base-revision", "1")
	require.Equal(t, ExitOK, result.code, result.stderr)
	require.Equal(t, uint64(2), c.currentState().Revision)
}

// Guards against a client that fails at a follower instead of following it to the
// leader. Also guards against an endless loop between two replicas that each
// report the other as the leader.
func TestClientFollowsLeader(t *testing.T) {
	c, leader := startImportedCluster(t)
	follower := startFakeServer(t, c, "control-2", nil)
	notLeader := func(address string) *jsonrpc2.Error {
		e := &jsonrpc2.Error{Code: controlapi.CodeNotLeader, Message: "not the leader"}
		e.SetError(controlapi.NotLeaderData{Address: address})
		return e
	}
	follower.setFailures(0, failTimes(-1, notLeader(leader.address)))
	result := runCLI(t, "--control", follower.address, "vm", "leave", "orders-1")
	require.Equal(t, ExitOK, result.code, result.stderr)
	leader.setFailures(0, failTimes(-1, notLeader(follower.address)))
	result = runCLI(t, "--control", follower.address, "vm", "return", "orders-1")
	require.Equal(t, ExitUnavailable, result.code)
	// A leader that loses leadership while it commits returns the same error.
	require.Contains(t, result.stderr, "outcome is unknown")
	result = runCLI(t, "--control", "127.0.0.1:1", "vm", "return", "orders-1")
	require.Equal(t, ExitUnavailable, result.code)
	require.Contains(t, result.stderr, "this command changed nothing")
	// Without TLS a server must not redirect the client beyond loopback.
	err := parseNotLeader(notLeader("192.0.2.1:7"), nil)
	var parsed *notLeaderError
	require.True(t, errors.As(err, &parsed))
	require.Empty(t, parsed.leaderAddress)
}

// Guards against JSON output that scripts cannot parse.
func TestHistoryAndStatusJSON(t *testing.T) {
	_, server := startImportedCluster(t)
	var entries []intent.HistoryEntry
	result := runCLI(t, "history", "--json", "--control", server.address)
	require.NoError(t, json.Unmarshal([]byte(result.stdout), &entries))
	require.Equal(t, []intent.HistoryEntry{{Revision: 1, OperationID: "op-1", Operator: "iva", Summary: "inventory of 16 VMs and 2 services"}}, entries)
	var status statusOutput
	result = runCLI(t, "status", "--json", "--service", "kilnlog", "--control", server.address)
	require.NoError(t, json.Unmarshal([]byte(result.stdout), &status))
	require.Len(t, status.VMs, 3)
	require.Len(t, status.Processes, 1)
	require.Empty(t, status.Unanswered)
}
