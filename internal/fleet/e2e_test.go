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

// lockSharedDevices serialises the end-to-end tests of one machine, because they use
// the same TUN devices, addresses and routes.
func lockSharedDevices(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "bramleyhold-e2e.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	require.NoError(t, unix.Flock(int(file.Fd()), unix.LOCK_EX))
}

func startFleet(t *testing.T, plan Plan) *Fleet {
	t.Helper()
	lockSharedDevices(t)
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	fleet := New(plan, logrus.NewEntry(logger), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, fleet.Start(ctx))
	t.Cleanup(func() { require.NoError(t, fleet.Stop()) })
	t.Cleanup(func() {
		if t.Failed() {
			for id, counters := range fleet.Counters() {
				t.Logf("%s: %v", id, counters)
			}
		}
	})
	require.NoError(t, fleet.Configure(ctx))
	require.NoError(t, fleet.WaitReady(ctx))
	return fleet
}

// Guards against a broken path of an ordinary TCP connection. The kernel's TCP stack
// connects through one control process, two balancers and two agents.
func TestOneTCPConnectionThroughAllParts(t *testing.T) {
	fleet := startFleet(t, Plan{
		Prefix: "bte", Network: 19, Control: 1, Balancers: 2, Folder: t.TempDir(), Seed: 1,
		Services: []ServicePlan{{Name: "orders", Upstreams: 2, Slots: 7, Connections: 100, Contract: service.DefaultContract()}},
	})
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + fleet.VirtualAddress("orders").String() + "/")
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(body), "answered by orders-")
	require.Equal(t, int64(1), fleet.ServedRequests("orders-1")+fleet.ServedRequests("orders-2"))
}

const (
	downloads       = 100
	downloadBytes   = 2 << 20
	downloadSeconds = 8
)

// download fetches one body over a new connection, checks its hash and returns the
// upstream.
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
	gotHash := sha256.New()
	if _, err := io.Copy(gotHash, response.Body); err != nil {
		return "", fmt.Errorf("download %d from %s: %w", seed, response.Header.Get("X-Upstream"), err)
	}
	wantHash := sha256.New()
	if _, err := io.CopyN(wantHash, standin.DownloadBody(uint64(seed)), downloadBytes); err != nil {
		return "", err
	}
	if string(gotHash.Sum(nil)) != string(wantHash.Sum(nil)) {
		return "", fmt.Errorf("download %d from %s: the hash of the body is not the expected one", seed, response.Header.Get("X-Upstream"))
	}
	return vm.ID(response.Header.Get("X-Upstream")), nil
}

// Guards against planned changes that break, repeat or mix up downloads. One balancer
// and one agent restart and one upstream drains, while 100 downloads run through
// three balancers. The fabric sends each packet to a random balancer.
func TestDownloadsSurvivePlannedChanges(t *testing.T) {
	fleet := startFleet(t, Plan{
		Prefix: "btd", Network: 19, Control: 3, Balancers: 3, Folder: t.TempDir(), Seed: 2,
		Services: []ServicePlan{{Name: "orders", Upstreams: 4, Slots: 60, Connections: 2000, Contract: service.DefaultContract()}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	address := fleet.VirtualAddress("orders").String()
	group, ctx := errgroup.WithContext(ctx)
	for i := range downloads {
		group.Go(func() error {
			_, err := download(ctx, address, i)
			return err
		})
	}
	time.Sleep(time.Second)
	require.NoError(t, fleet.StopBalancer(0))
	require.NoError(t, fleet.StopComponent("orders-1"))
	require.NoError(t, fleet.StartAgent(ctx, "orders", 0, 0))
	result, err := fleet.Propose(ctx, intent.Change{
		OperationID: "drain", Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: "orders-2", Leaving: true},
	})
	require.NoError(t, err)
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	require.NoError(t, fleet.StartBalancer(ctx, 0))
	// maxDrainTime outlasts the time until no balancer or agent places flows on the
	// leaving upstream.
	const maxDrainTime = 3 * time.Second
	time.Sleep(maxDrainTime)
	for i := range 20 {
		group.Go(func() error {
			id, err := download(ctx, address, downloads+i)
			if err == nil && id == "orders-2" {
				err = fmt.Errorf("download %d was placed on a leaving upstream", downloads+i)
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
	served := func() (total int64) {
		for i := range 4 {
			total += fleet.ServedRequests(upstreamName("orders", i))
		}
		return total
	}
	// A server counts a request shortly after the caller has received its last byte.
	require.Eventually(t, func() bool { return served() >= downloads+20 }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, int64(downloads+20), served(), "a request was executed more than once")
}
