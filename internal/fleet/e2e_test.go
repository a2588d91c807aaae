//go:build e2e

package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/standin"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// lockMachine makes end-to-end runs on one machine wait for each other: they
// use the same devices, addresses and routes.
func lockMachine(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "bramleyhold-e2e.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	require.NoError(t, unix.Flock(int(file.Fd()), unix.LOCK_EX))
}

func startFleet(t *testing.T, plan Plan) *Fleet {
	t.Helper()
	lockMachine(t)
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	f := New(plan, logrus.NewEntry(logger), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.Start(ctx))
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	t.Cleanup(func() {
		if t.Failed() {
			for id, counters := range f.Counters() {
				t.Logf("%s: %v", id, counters)
			}
		}
	})
	require.NoError(t, f.Configure(ctx))
	require.NoError(t, f.WaitReady(ctx))
	return f
}

// Guards against any break in the path of an ordinary connection: one control
// process, two balancers, two agents, one TCP connection by the kernel.
func TestOneConnection(t *testing.T) {
	f := startFleet(t, Plan{
		Prefix: "bte", Network: 19, Control: 1, Balancers: 2, Folder: t.TempDir(), Seed: 1,
		Services: []ServicePlan{{Name: "orders", Upstreams: 2, Slots: 7, Connections: 100, Contract: service.DefaultContract()}},
	})
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.VirtualAddress("orders").String() + "/")
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(body), "answered by orders-")
	require.Equal(t, int64(1), f.Served("orders-1")+f.Served("orders-2"))
}

const (
	downloads       = 100
	downloadBytes   = 2 << 20
	downloadSeconds = 8
)

// download fetches one body over a connection of its own and checks its hash.
func download(ctx context.Context, address string, seed int) (vm.ID, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/download?bytes=%d&seed=%d&seconds=%d", address, downloadBytes, seed, downloadSeconds)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("download %d: status %s from %s", seed, response.Status, response.Header.Get("X-Upstream"))
	}
	got := sha256.New()
	if _, err := io.Copy(got, response.Body); err != nil {
		return "", fmt.Errorf("download %d from %s: %w", seed, response.Header.Get("X-Upstream"), err)
	}
	want := sha256.New()
	if _, err := io.CopyN(want, standin.NewBody(uint64(seed)), downloadBytes); err != nil {
		return "", err
	}
	if string(got.Sum(nil)) != string(want.Sum(nil)) {
		return "", fmt.Errorf("download %d from %s: the body is not the one that was asked for", seed, response.Header.Get("X-Upstream"))
	}
	return vm.ID(response.Header.Get("X-Upstream")), nil
}

// Guards against planned changes that cut, repeat or mix up downloads: one
// balancer and one agent restart and one upstream drains while 100 downloads
// run through three balancers that get the packets at random.
func TestDownloadsSurvivePlannedChanges(t *testing.T) {
	f := startFleet(t, Plan{
		Prefix: "btd", Network: 19, Control: 3, Balancers: 3, Folder: t.TempDir(), Seed: 2,
		Services: []ServicePlan{{Name: "orders", Upstreams: 4, Slots: 60, Connections: 2000, Contract: service.DefaultContract()}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	address := f.VirtualAddress("orders").String()
	group, ctx := errgroup.WithContext(ctx)
	for i := range downloads {
		group.Go(func() error {
			_, err := download(ctx, address, i)
			return err
		})
	}
	time.Sleep(time.Second)
	require.NoError(t, f.StopBalancer(0))
	require.NoError(t, f.StopPart("orders-1"))
	require.NoError(t, f.StartAgent(ctx, "orders", 0, 0))
	result, err := f.Propose(ctx, intent.Change{
		OperationID: "drain", Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: "orders-2", Leaving: true},
	})
	require.NoError(t, err)
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	require.NoError(t, f.StartBalancer(ctx, 0))
	const newWorkLimit = 3 * time.Second
	time.Sleep(newWorkLimit)
	for i := range 20 {
		group.Go(func() error {
			id, err := download(ctx, address, downloads+i)
			if err == nil && id == "orders-2" {
				err = fmt.Errorf("download %d was new work for a leaving upstream", downloads+i)
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
	served := func() (total int64) {
		for i := range 4 {
			total += f.Served(upstreamName("orders", i))
		}
		return total
	}
	// A server counts a request shortly after the caller has its last byte.
	require.Eventually(t, func() bool { return served() >= downloads+20 }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, int64(downloads+20), served(), "a request ran more than once")
}
