//go:build e2e

package fleet

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
)

func startFleet(t *testing.T, plan Plan) *Fleet {
	t.Helper()
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	f := New(plan, logrus.NewEntry(logger), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.Start(ctx))
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
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
