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

	"bramleyhold.example/bramleyhold/internal/standin"
	"bramleyhold.example/bramleyhold/internal/tun"
)

// programs builds the binaries once and runs them as separate processes.
type programs struct {
	t    *testing.T
	bin  string
	keys string
	data string
}

func buildPrograms(t *testing.T) *programs {
	t.Helper()
	p := &programs{t: t, bin: t.TempDir(), keys: filepath.Join(t.TempDir(), "keys"), data: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", p.bin, "../../cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))
	return p
}

func (p *programs) ctl(args ...string) string {
	p.t.Helper()
	out, err := exec.Command(filepath.Join(p.bin, "bramleyctl"), args...).CombinedOutput()
	require.NoError(p.t, err, "bramleyctl %s\n%s", strings.Join(args, " "), out)
	return string(out)
}

func (p *programs) issue(role, id string) string {
	p.ctl("keys", "issue", p.keys, "--role", role, "--vm", id, "--address", "127.0.0.1")
	return filepath.Join(p.keys, "vm", id)
}

// start runs a program until the test ends. It must then stop by itself after
// SIGTERM.
func (p *programs) start(name string, args ...string) *exec.Cmd {
	p.t.Helper()
	var log bytes.Buffer
	cmd := exec.Command(filepath.Join(p.bin, name), args...)
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

const processInventory = `kind,name,address,zone,role,service,port,protocol,slots,connections
vm,control-1,192.0.2.1,local/a,control,,,,,
vm,balancer-1,192.0.2.11,local/a,balancer,,,,,
vm,balancer-2,192.0.2.12,local/b,balancer,,,,,
vm,orders-1,198.19.21.1,local/a,upstream,orders,,,7,100
vm,orders-2,198.19.22.1,local/b,upstream,orders,,,7,100
service,orders,198.51.101.40,,,,8080,tcp,,
`

// Guards against parts that work only inside one process: one control process,
// two balancers and two agents with keys, TLS and an imported inventory answer
// an ordinary HTTP request, and keep a download while both agents restart.
func TestSeparateProcesses(t *testing.T) {
	lockMachine(t)
	p := buildPrograms(t)
	p.ctl("keys", "init", p.keys)
	operator := filepath.Join(p.keys, "vm", "operator-1")
	p.ctl("keys", "issue", p.keys, "--role", "operator", "--vm", "operator-1")
	control, gossip := free(t), free(t)
	p.start("bramley-control", "--vm", "control-1", "--zone", "local/a", "--listen", control, "--peers", "control-1="+control,
		"--address", gossip, "--keys", p.issue("control", "control-1"), "--data-folder", filepath.Join(p.data, "control-1"))

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

	var packets []netip.AddrPort
	for i, zone := range []string{"local/a", "local/b"} {
		id := fmt.Sprintf("balancer-%d", i+1)
		address := netip.MustParseAddrPort(free(t))
		packets = append(packets, address)
		p.start("bramley-balancer", "--vm", id, "--zone", zone, "--address", free(t),
			"--control", control, "--seeds", gossip, "--keys", p.issue("balancer", id),
			"--packet-address", address.String(), "--packet-sink", fabric.Address().String())
	}
	fabric.SetBalancers(packets)
	restart := make([]func(), 2)
	for i, zone := range []string{"local/a", "local/b"} {
		id, host := fmt.Sprintf("orders-%d", i+1), fmt.Sprintf("198.19.2%d.1", i+1)
		device := fmt.Sprintf("btp-a%d", i+1)
		t.Cleanup(func() { _ = tun.Remove(device) })
		args := []string{
			"--vm", id, "--zone", zone, "--address", free(t),
			"--control", control, "--seeds", gossip, "--keys", p.issue("agent", id), "--service", "orders",
			"--upstream", host + ":9000", "--aliases", fmt.Sprintf("198.19.2%d.128/25", i+1), "--device", device, "--device-address", host + "/32",
			"--data-folder", filepath.Join(p.data, id),
		}
		running := p.start("bramley-agent", args...)
		restart[i] = func() {
			require.NoError(t, running.Process.Signal(syscall.SIGTERM))
			require.NoError(t, running.Wait())
			p.start("bramley-agent", args...)
		}
		p.serve(ctx, id, host+":9000")
	}
	inventory := filepath.Join(p.data, "inventory.csv")
	require.NoError(t, os.WriteFile(inventory, []byte(processInventory), 0o600))
	p.ctl("--control", control, "--keys", operator, "inventory", "import", inventory)
	p.request(virtual)
	// A download survives the planned restart of every agent.
	done := make(chan error, 1)
	go func() {
		_, err := download(ctx, virtual.String(), 1)
		done <- err
	}()
	for _, again := range restart {
		time.Sleep(time.Second)
		again()
	}
	require.NoError(t, <-done)
	require.Contains(t, p.ctl("--control", control, "--keys", operator, "status"), "control-1")
}

func free(t *testing.T) string {
	t.Helper()
	address, err := freeAddress()
	require.NoError(t, err)
	return address
}

// serve starts a stand-in server once its address exists.
func (p *programs) serve(ctx context.Context, id, address string) {
	require.Eventually(p.t, func() bool {
		server, err := standin.NewUpstream("orders", address, 7)
		if err != nil {
			return false
		}
		go func() { _ = server.Run(ctx) }()
		return true
	}, 10*time.Second, 20*time.Millisecond, id)
}

// request repeats a request until the fleet has taken up the inventory.
func (p *programs) request(virtual netip.AddrPort) {
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
