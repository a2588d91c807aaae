package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/keys"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against a member that is called twice, skipped, or missing from the
// output because it does not respond.
func TestExplainQueriesEachProcessOnce(t *testing.T) {
	c, control := startImportedCluster(t)
	member := startFakeServer(t, c, "balancer-1", nil)
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	control.events = []event.Event{{At: at, Node: "control-1", Kind: event.Applied, Object: "intent", Reason: "committed", Revision: 1}}
	member.events = []event.Event{{At: at.Add(-time.Second), Node: "balancer-1", Kind: event.Ignored, Object: "frame", Reason: "stale incarnation", Revision: 1}}
	c.members = []view.Member{
		{VM: "orders-1", Role: vm.RoleUpstream, Service: "orders", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		{VM: "kilnlog-1", Role: vm.RoleUpstream, Service: "kilnlog", Address: netip.MustParseAddrPort("127.0.0.1:2")},
		{VM: "balancer-1", Role: vm.RoleBalancer, Address: netip.MustParseAddrPort(member.address)},
		{VM: "control-1", Role: vm.RoleControl, Address: netip.MustParseAddrPort(control.address)},
	}
	var events eventsOutput
	result := runCLI(t, "--control", control.address, "--json", "explain", "events")
	require.NoError(t, json.Unmarshal([]byte(result.stdout), &events))
	require.Equal(t, []event.Event{member.events[0], control.events[0]}, events.Events)
	require.Len(t, events.Unanswered, 2)
	result = runCLI(t, "--control", control.address, "explain", "flow", "--caller", "198.51.100.7:4000", "--service", "orders")
	require.Equal(t, ExitOK, result.code, result.stderr)
	require.Contains(t, result.stdout, "flow from 198.51.100.7:4000 to orders (203.0.113.10:7443/tcp)")
	require.Contains(t, result.stdout, "balancer-1: holder -, home -, placer -\n  no hint for 198.51.100.7:4000")
	require.Contains(t, result.stdout, "no answer from orders-1 (127.0.0.1:1)")
	require.NotContains(t, result.stdout, "kilnlog-1")
	result = runCLI(t, "explain", "flow", "--caller", "198.51.100.7")
	require.Equal(t, ExitUsage, result.code)
	for _, name := range []string{"--control", "--caller", "--service"} {
		require.Contains(t, result.stderr, name)
	}
}

// Guards against revisions that are shown twice, out of order or not at all. This
// must also hold across a lost connection.
func TestWatchShowsEachRevisionOnceAcrossReconnects(t *testing.T) {
	c, first := startImportedCluster(t)
	second := startFakeServer(t, c, "control-2", nil)
	result := runCLI(t, "--control", first.address, "watch", "--from", "0", "--count", "1")
	require.Equal(t, "revision 1: inventory of 16 VMs and 2 services\n", result.stdout)
	var stdout, stderr bytes.Buffer
	ended := make(chan int, 1)
	go func() {
		args := []string{"bramleyctl", "--control", first.address + "," + second.address, "watch", "--count", "3"}
		ended <- (&app{stdout: &stdout, sleep: sleepContext}).run(context.Background(), args, &stderr)
	}()
	waitForSubscribers(t, c, 2)
	require.Equal(t, ExitOK, runCLI(t, "--control", second.address, "vm", "leave", "orders-1").code)
	require.Equal(t, ExitOK, runCLI(t, "--control", second.address, "vm", "leave", "orders-2").code)
	c.mu.Lock()
	for _, s := range c.subscribers {
		_ = s.Close()
	}
	c.mu.Unlock()
	require.Equal(t, ExitOK, runCLI(t, "--control", second.address, "vm", "return", "orders-1").code)
	require.Equal(t, ExitOK, <-ended, stderr.String())
	lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	require.Len(t, lines, 3)
	for i, prefix := range []string{"revision 2: vm orders-1", "revision 3: vm orders-2", "revision 4: vm orders-1"} {
		require.True(t, strings.HasPrefix(lines[i], prefix), lines[i])
	}
}

func waitForSubscribers(t *testing.T, c *fakeCluster, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.subscribers) >= want
	}, 10*time.Second, time.Millisecond)
}

// Guards against a watch that hides missing revisions. A replica that has
// compacted its log sends a snapshot without them.
func TestWatchSnapshotNamesMissingRevisions(t *testing.T) {
	var out bytes.Buffer
	w := &watcher{session: &session{out: &printer{w: &out}}, lastRevision: 5}
	entries := []intent.HistoryEntry{{Revision: 5, Summary: "five"}, {Revision: 8, Summary: "eight"}, {Revision: 10, Summary: "ten"}}
	_, err := w.showSnapshot(9, entries)
	require.NoError(t, err)
	require.Equal(t, "revision 7: the changes after revision 5 are no longer in the history\nrevision 8: eight\n"+
		"revision 9: the changes after revision 8 are no longer in the history\n", out.String())
}

// Guards against commands that do not use the operator's certificate, and against
// plain TCP beyond loopback.
func TestCommandsOverTLS(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "cluster")
	for _, args := range []string{
		"keys init " + dir,
		"keys issue " + dir + " --role control --vm control-1 --address 192.0.2.21 --address 127.0.0.1",
		"keys issue " + dir + " --role agent --vm orders-1 --address 127.0.0.1",
		"keys issue " + dir + " --role operator --vm iva",
		"keys rotate-frame " + dir,
		"keys rotate-frame --activate " + dir,
	} {
		result := runCLI(t, strings.Fields(args)...)
		require.Equal(t, ExitOK, result.code, result.stderr)
	}
	result := runCLI(t, "keys", "rotate-frame", "--activate", dir)
	require.Equal(t, ExitRejected, result.code, result.stderr)
	result = runCLI(t, "keys", "issue", dir, "--role", "root", "--vm", "../x", "--address", "here")
	require.Equal(t, ExitUsage, result.code)
	for _, name := range []string{"--role", "--vm", "--address"} {
		require.Contains(t, result.stderr, name)
	}
	serverTLS, _, err := keys.LoadTLS(filepath.Join(dir, "vm/control-1"))
	require.NoError(t, err)
	control := startFakeServer(t, &fakeCluster{state: &intent.State{}}, "control-1", serverTLS)
	result = runCLI(t, "--control", control.address, "--keys", filepath.Join(dir, "vm/iva"), "inventory", "import", exampleInventory)
	require.Equal(t, ExitOK, result.code, result.stderr)
	require.Equal(t, ExitUnavailable, runCLI(t, "--control", control.address, "history", "--timeout", "2s").code)
	require.Equal(t, ExitUsage, runCLI(t, "--control", control.address, "--keys", dir, "history").code)
	// An agent that listens on a control address must not receive changes or
	// respond in place of a control VM.
	serverTLS, _, err = keys.LoadTLS(filepath.Join(dir, "vm/orders-1"))
	require.NoError(t, err)
	agentAsControl := startFakeServer(t, &fakeCluster{state: &intent.State{}}, "orders-1", serverTLS)
	result = runCLI(t, "--control", agentAsControl.address, "--keys", filepath.Join(dir, "vm/iva"), "history")
	require.Equal(t, ExitUnavailable, result.code)
	require.Contains(t, result.stderr, `has role "agent", want one of [control]`)
}

// Guards against example scripts that do not run, or that set a contract that the
// deployment does not need.
func TestExampleScriptsSetExpectedContracts(t *testing.T) {
	contract := func(idempotent bool, shape service.FlowShape, priority service.Priority) service.Contract {
		return service.Contract{Idempotent: idempotent, Shape: shape, QueueDeadline: service.DefaultQueueDeadline, Priority: priority}
	}
	for name, want := range map[string]map[service.Name]service.Contract{
		"scipalka-lesnina": {
			"orders":  contract(false, service.ShapeLongFlows, service.PrioritySurvival),
			"kilnlog": contract(true, service.ShapeShortRequests, service.PrioritySurvival),
		},
		"typotheque-armorique": {
			"licence-desk": contract(false, service.ShapeLongFlows, service.PriorityBalance),
			"font-depot":   contract(true, service.ShapeShortRequests, service.PriorityBalance),
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &fakeCluster{state: &intent.State{}}
			t.Setenv("BRAMLEY_CONTROL", startFakeServer(t, c, "control-1", nil).address)
			folder := filepath.Join("../../examples", name)
			script, err := os.ReadFile(filepath.Join(folder, "rules.sh"))
			require.NoError(t, err)
			for text := range strings.Lines(string(script)) {
				if args := strings.Fields(text); len(args) > 0 && args[0] == "bramleyctl" {
					result := runCLI(t, strings.Fields(strings.ReplaceAll(strings.Join(args[1:], " "), "inventory.csv", folder+"/inventory.csv"))...)
					require.Equal(t, ExitOK, result.code, result.stderr)
				}
			}
			for name, contract := range want {
				got, ok := c.currentState().FindService(name)
				require.True(t, ok)
				require.True(t, got.Traffic)
				require.Equal(t, contract, got.Contract, name)
			}
		})
	}
}
