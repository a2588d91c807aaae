//go:build e2e

package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/internal/standin"
	"bramleyhold.example/bramleyhold/internal/tun"
)

// testPrograms runs the built binaries as separate processes.
type testPrograms struct {
	t          *testing.T
	binFolder  string
	keyFolder  string
	dataFolder string
}

func buildPrograms(t *testing.T) *testPrograms {
	t.Helper()
	p := &testPrograms{t: t, binFolder: t.TempDir(), keyFolder: filepath.Join(t.TempDir(), "keys"), dataFolder: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", p.binFolder, "../../cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))
	return p
}

func (p *testPrograms) runCtl(args ...string) string {
	p.t.Helper()
	out, err := exec.Command(filepath.Join(p.binFolder, "bramleyctl"), args...).CombinedOutput()
	require.NoError(p.t, err, "bramleyctl %s\n%s", strings.Join(args, " "), out)
	return string(out)
}

func (p *testPrograms) issueKeys(role, id string) string {
	p.runCtl("keys", "issue", p.keyFolder, "--role", role, "--vm", id, "--address", loopback.Host.String())
	return filepath.Join(p.keyFolder, "vm", id)
}

// start runs a program until the test ends. The program must exit with success after
// SIGTERM.
func (p *testPrograms) start(name string, args ...string) *exec.Cmd {
	p.t.Helper()
	var log bytes.Buffer
	cmd := exec.Command(filepath.Join(p.binFolder, name), args...)
	cmd.Stdout, cmd.Stderr = &log, &log
	require.NoError(p.t, cmd.Start())
	p.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			if err := cmd.Wait(); err != nil {
				p.t.Errorf("%s: %v", name, err)
			}
		}
		if p.t.Failed() {
			p.t.Logf("%s %v:\n%s", name, args, log.String())
		}
	})
	return cmd
}

const testInventory = `kind,name,address,zone,role,service,port,protocol,slots,connections
vm,control-1,192.0.2.1,local/a,control,,,,,
vm,balancer-1,192.0.2.11,local/a,balancer,,,,,
vm,balancer-2,192.0.2.12,local/b,balancer,,,,,
vm,orders-1,198.19.21.1,local/a,upstream,orders,,,7,100
vm,orders-2,198.19.22.1,local/b,upstream,orders,,,7,100
service,orders,198.51.101.40,,,,8080,tcp,,
`

// Guards against programs that work only inside one process. One control process, two
// balancers and two agents run with keys, TLS and an imported inventory. They must
// serve an ordinary HTTP request, and a download must survive the restart of both
// agents.
func TestSeparateProcesses(t *testing.T) {
	lockSharedDevices(t)
	programs := buildPrograms(t)
	programs.runCtl("keys", "init", programs.keyFolder)
	operatorKeys := filepath.Join(programs.keyFolder, "vm", "operator-1")
	programs.runCtl("keys", "issue", programs.keyFolder, "--role", "operator", "--vm", "operator-1")
	control, gossip := freeLoopbackAddress(t), freeLoopbackAddress(t)
	programs.start("bramley-control", "--vm", "control-1", "--zone", "local/a", "--listen", control, "--peers", "control-1="+control,
		"--address", gossip, "--keys", programs.issueKeys("control", "control-1"), "--data-folder", filepath.Join(programs.dataFolder, "control-1"))

	virtual := netip.MustParseAddrPort("198.51.101.40:8080")
	device, err := tun.Open(tun.Config{
		Name: "btp-fabric", MTU: 1500, Routes: []netip.Prefix{netip.PrefixFrom(virtual.Addr(), 32)},
		Addresses: []netip.Prefix{netip.MustParsePrefix("198.19.254.1/32")},
	})
	require.NoError(t, err)
	fabric, err := standin.NewFabric(device, netip.MustParseAddrPort("127.0.0.1:0"), 1)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = fabric.Run(ctx) }()

	var packetAddresses []netip.AddrPort
	for i, zone := range []string{"local/a", "local/b"} {
		id := fmt.Sprintf("balancer-%d", i+1)
		address := netip.MustParseAddrPort(freeLoopbackAddress(t))
		packetAddresses = append(packetAddresses, address)
		programs.start("bramley-balancer", "--vm", id, "--zone", zone, "--address", freeLoopbackAddress(t),
			"--control", control, "--seeds", gossip, "--keys", programs.issueKeys("balancer", id),
			"--packet-address", address.String(), "--packet-sink", fabric.Address().String())
	}
	fabric.SetBalancers(packetAddresses)
	restartAgent := make([]func(), 2)
	for i, zone := range []string{"local/a", "local/b"} {
		id, host := fmt.Sprintf("orders-%d", i+1), fmt.Sprintf("198.19.2%d.1", i+1)
		device := fmt.Sprintf("btp-a%d", i+1)
		t.Cleanup(func() { _ = tun.Remove(device) })
		args := []string{
			"--vm", id, "--zone", zone, "--address", freeLoopbackAddress(t),
			"--control", control, "--seeds", gossip, "--keys", programs.issueKeys("agent", id), "--service", "orders",
			"--upstream", host + ":9000", "--aliases", fmt.Sprintf("198.19.2%d.128/25", i+1), "--device", device, "--device-address", host + "/32",
			"--data-folder", filepath.Join(programs.dataFolder, id),
		}
		running := programs.start("bramley-agent", args...)
		restartAgent[i] = func() {
			require.NoError(t, running.Process.Signal(syscall.SIGTERM))
			require.NoError(t, running.Wait())
			programs.start("bramley-agent", args...)
		}
		programs.startServerOnceAddressExists(ctx, id, host+":9000")
	}
	inventory := filepath.Join(programs.dataFolder, "inventory.csv")
	require.NoError(t, os.WriteFile(inventory, []byte(testInventory), 0o600))
	programs.runCtl("--control", control, "--keys", operatorKeys, "inventory", "import", inventory)
	programs.waitForResponse(virtual)
	// A balancer refuses openings until gossip has brought it the status of a ready
	// upstream. An answer through each one alone shows that neither refuses the download.
	for _, address := range packetAddresses {
		fabric.SetBalancers([]netip.AddrPort{address})
		programs.waitForResponse(virtual)
	}
	fabric.SetBalancers(packetAddresses)
	// A download must survive the planned restart of every agent.
	downloaded := make(chan error, 1)
	go func() {
		_, err := download(ctx, virtual.String(), 1)
		downloaded <- err
	}()
	for _, restart := range restartAgent {
		time.Sleep(time.Second)
		restart()
	}
	require.NoError(t, <-downloaded)
	require.Contains(t, programs.runCtl("--control", control, "--keys", operatorKeys, "status"), "control-1")
}

func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address.String()
}

// startServerOnceAddressExists starts a stand-in server. It retries until the agent
// has created the TUN device with the server's address.
func (p *testPrograms) startServerOnceAddressExists(ctx context.Context, id, address string) {
	require.Eventually(p.t, func() bool {
		server, err := standin.NewUpstream("orders", address, 7)
		if err != nil {
			return false
		}
		go func() { _ = server.Run(ctx) }()
		return true
	}, 10*time.Second, 20*time.Millisecond, id)
}

// waitForResponse repeats a request until the processes have applied the inventory.
func (p *testPrograms) waitForResponse(virtual netip.AddrPort) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(p.t, func() bool {
		response, err := client.Get("http://" + virtual.String() + "/")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return err == nil && strings.Contains(string(body), "answered by orders")
	}, 15*time.Second, 100*time.Millisecond)
}
