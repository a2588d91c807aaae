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

// Guards against a member that is asked twice, left out, or hidden because it
// does not answer.
func TestExplain(t *testing.T) {
	c, control := imported(t)
	member := startFake(t, c, "balancer-1", nil)
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	control.events = []event.Event{{At: at, Node: "control-1", Kind: event.Applied, Object: "intent", Reason: "committed", Revision: 1}}
	member.events = []event.Event{{At: at.Add(-time.Second), Node: "balancer-1", Kind: event.Ignored, Object: "frame", Reason: "stale incarnation", Revision: 1}}
	c.members = []view.Member{
		{VM: "orders-1", Role: vm.RoleUpstream, Service: "orders", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		{VM: "kilnlog-1", Role: vm.RoleUpstream, Service: "kilnlog", Address: netip.MustParseAddrPort("127.0.0.1:2")},
		{VM: "balancer-1", Role: vm.RoleBalancer, Address: netip.MustParseAddrPort(member.address)},
		{VM: "control-1", Role: vm.RoleControl, Address: netip.MustParseAddrPort(control.address)},
	}
	var events eventsAnswer
	o := run(t, "--control", control.address, "--json", "explain", "events")
	require.NoError(t, json.Unmarshal([]byte(o.stdout), &events))
	require.Equal(t, []event.Event{member.events[0], control.events[0]}, events.Events)
	require.Len(t, events.Unanswered, 2)
	o = run(t, "--control", control.address, "explain", "flow", "--caller", "198.51.100.7:4000", "--service", "orders")
	require.Equal(t, ExitOK, o.code, o.stderr)
	require.Contains(t, o.stdout, "flow from 198.51.100.7:4000 to orders (203.0.113.10:7443/tcp)")
	require.Contains(t, o.stdout, "balancer-1: holder -, home -, placer -\n  no hint for 198.51.100.7:4000")
	require.Contains(t, o.stdout, "no answer from orders-1 (127.0.0.1:1)")
	require.NotContains(t, o.stdout, "kilnlog-1")
	o = run(t, "explain", "flow", "--caller", "198.51.100.7")
	require.Equal(t, ExitUsage, o.code)
	for _, name := range []string{"--control", "--caller", "--service"} {
		require.Contains(t, o.stderr, name)
	}
}

// Guards against revisions that are shown twice, out of order or not at all,
// also when the connection ends.
func TestWatch(t *testing.T) {
	c, first := imported(t)
	second := startFake(t, c, "control-2", nil)
	o := run(t, "--control", first.address, "watch", "--from", "0", "--count", "1")
	require.Equal(t, "revision 1: inventory of 16 VMs and 2 services\n", o.stdout)
	var stdout, stderr bytes.Buffer
	ended := make(chan int, 1)
	go func() {
		args := []string{"bramleyctl", "--control", first.address + "," + second.address, "watch", "--count", "3"}
		ended <- (&app{stdout: &stdout, pause: pause}).run(context.Background(), args, &stderr)
	}()
	waitForSubscribers(t, c, 2)
	require.Equal(t, ExitOK, run(t, "--control", second.address, "vm", "leave", "orders-1").code)
	require.Equal(t, ExitOK, run(t, "--control", second.address, "vm", "leave", "orders-2").code)
	c.mu.Lock()
	for _, s := range c.subscribers {
		_ = s.Close()
	}
	c.mu.Unlock()
	require.Equal(t, ExitOK, run(t, "--control", second.address, "vm", "return", "orders-1").code)
	require.Equal(t, ExitOK, <-ended, stderr.String())
	lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	require.Len(t, lines, 3)
	for i, prefix := range []string{"revision 2: vm orders-1", "revision 3: vm orders-2", "revision 4: vm orders-1"} {
		require.True(t, strings.HasPrefix(lines[i], prefix), lines[i])
	}
}

func waitForSubscribers(t *testing.T, c *cluster, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.subscribers) >= want
	}, 10*time.Second, time.Millisecond)
}

// Guards against a watch that hides a gap, for example after a replica has
// compacted its log.
func TestWatchUpdates(t *testing.T) {
	var out bytes.Buffer
	w := &watcher{session: &session{out: &printer{w: &out}}, revision: 5}
	rows := []intent.HistoryEntry{{Revision: 5, Summary: "five"}, {Revision: 8, Summary: "eight"}, {Revision: 10, Summary: "ten"}}
	_, err := w.showSnapshot(9, rows)
	require.NoError(t, err)
	require.Equal(t, "revision 7: the changes after revision 5 are no longer known\nrevision 8: eight\n"+
		"revision 9: the changes after revision 8 are no longer known\n", out.String())
}

// Guards against commands that do not use the certificate, and against plain
// TCP beyond loopback.
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
		o := run(t, strings.Fields(args)...)
		require.Equal(t, ExitOK, o.code, o.stderr)
	}
	o := run(t, "keys", "rotate-frame", "--activate", dir)
	require.Equal(t, ExitRejected, o.code, o.stderr)
	o = run(t, "keys", "issue", dir, "--role", "root", "--vm", "../x", "--address", "here")
	require.Equal(t, ExitUsage, o.code)
	for _, name := range []string{"--role", "--vm", "--address"} {
		require.Contains(t, o.stderr, name)
	}
	server, _, err := keys.LoadTLS(filepath.Join(dir, "vm/control-1"))
	require.NoError(t, err)
	f := startFake(t, &cluster{state: &intent.State{}}, "control-1", server)
	o = run(t, "--control", f.address, "--keys", filepath.Join(dir, "vm/iva"), "inventory", "import", example)
	require.Equal(t, ExitOK, o.code, o.stderr)
	require.Equal(t, ExitUnavailable, run(t, "--control", f.address, "history", "--timeout", "2s").code)
	require.Equal(t, ExitUsage, run(t, "--control", f.address, "--keys", dir, "history").code)
	// An agent under a control address must not get changes or answer for one.
	server, _, err = keys.LoadTLS(filepath.Join(dir, "vm/orders-1"))
	require.NoError(t, err)
	misplaced := startFake(t, &cluster{state: &intent.State{}}, "orders-1", server)
	o = run(t, "--control", misplaced.address, "--keys", filepath.Join(dir, "vm/iva"), "history")
	require.Equal(t, ExitUnavailable, o.code)
	require.Contains(t, o.stderr, `has role "agent", want one of [control]`)
}

// Guards against example scripts that do not run or that leave a service with
// another contract than the deployment needs.
func TestExampleRules(t *testing.T) {
	contract := func(idempotent bool, shape service.Shape, priority service.Priority) service.Contract {
		return service.Contract{Idempotent: idempotent, Shape: shape, QueueDeadline: service.DefaultQueueDeadline, Priority: priority}
	}
	for name, want := range map[string]map[service.Name]service.Contract{
		"scipalka-lesnina": {
			"orders":  contract(false, service.LongFlows, service.PreferSurvival),
			"kilnlog": contract(true, service.ShortRequests, service.PreferSurvival),
		},
		"typotheque-armorique": {
			"licence-desk": contract(false, service.LongFlows, service.PreferBalance),
			"font-depot":   contract(true, service.ShortRequests, service.PreferBalance),
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{state: &intent.State{}}
			t.Setenv("BRAMLEY_CONTROL", startFake(t, c, "control-1", nil).address)
			folder := filepath.Join("../../examples", name)
			script, err := os.ReadFile(filepath.Join(folder, "rules.sh"))
			require.NoError(t, err)
			for text := range strings.Lines(string(script)) {
				if args := strings.Fields(text); len(args) > 0 && args[0] == "bramleyctl" {
					o := run(t, strings.Fields(strings.ReplaceAll(strings.Join(args[1:], " "), "inventory.csv", folder+"/inventory.csv"))...)
					require.Equal(t, ExitOK, o.code, o.stderr)
				}
			}
			for name, contract := range want {
				got, ok := c.current().FindService(name)
				require.True(t, ok)
				require.True(t, got.Traffic)
				require.Equal(t, contract, got.Contract, name)
			}
		})
	}
}
