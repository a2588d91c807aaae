package soak

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// Guards against a check that never fails, whatever the programs do. Each check must
// record a breach of its kind.
func TestEachCheckRecordsItsBreach(t *testing.T) {
	key := flowKey{netip.MustParseAddrPort("127.80.0.201:1024"), virtualAddresses[0]}
	agent := &process{settings: platformtest.Settings{Zone: "a", Address: loopback.NumberedHost(1)}}
	for name, test := range map[string]struct {
		act  func(d *deployment, u *upstream)
		kind string
	}{
		"a request is executed twice": {func(d *deployment, u *upstream) { d.recordExecution(u, key, "a"); d.recordExecution(u, key, "a") }, "TWICE"},
		"an opening for another service": {func(_ *deployment, u *upstream) {
			u.service = "drying"
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, "ROUTE"},
		"an opening after the drain time": {func(_ *deployment, u *upstream) {
			u.leaveAcknowledgedAt = time.Now().Add(-4 * time.Second)
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, "DRAIN"},
		"an opening into a zone out of service": {func(d *deployment, u *upstream) {
			d.zoneOut, d.zoneOutSince = "a", time.Now().Add(-zoneOrderBound-time.Second)
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, "ZONE"},
		"an opening before a zone order binds": {func(d *deployment, u *upstream) {
			d.zoneOut, d.zoneOutSince = "a", time.Now()
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, ""},
		"an opening into another zone": {func(d *deployment, u *upstream) {
			d.zoneOut, d.zoneOutSince = "b", time.Now().Add(-zoneOrderBound-time.Second)
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, ""},
		"more openings than a cold upstream bears": {func(_ *deployment, u *upstream) {
			u.turnCold()
			for range coldBound + 1 {
				u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
			}
		}, "COLD"},
		"as many as it bears": {func(_ *deployment, u *upstream) {
			u.turnCold()
			for range coldBound {
				u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
			}
		}, ""},
		"an established flow is reset": {func(d *deployment, _ *upstream) { d.checkReset(key) }, "FLOW"},
		"a reset long after a fault": {func(d *deployment, _ *upstream) {
			d.recordUnplannedFault(time.Now().Add(-5*time.Second), agent.address())
			d.checkReset(key)
		}, "FLOW"},
		"a reset soon after a fault": {func(d *deployment, _ *upstream) {
			d.recordUnplannedFault(time.Now(), agent.address())
			d.checkReset(key)
		}, ""},
		"a flow without a holder is reset": {func(d *deployment, _ *upstream) { d.checkReset(flowKey{key.callerAddress, virtualAddresses[1]}) }, ""},
		"no breach": {func(d *deployment, u *upstream) {
			d.recordExecution(u, key, "a")
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(Options{}, t.TempDir())
			d.routedServices[virtualAddresses[0]] = map[string]bool{"orders": true}
			u := &upstream{deployment: d, agent: agent, id: "i-1", service: "orders", flows: map[flowKey]*upstreamFlow{key: {established: true}}}
			d.upstreams[netip.MustParseAddrPort(loopback.NumberedHost(1).String()+":18504")] = u
			test.act(d, u)
			if test.kind == "" {
				require.Empty(t, d.breaches)
				return
			}
			require.Len(t, d.breaches, 1)
			require.Contains(t, d.breaches[0], test.kind+":")
		})
	}
}

// Guards against a deadlock between the check of a reset and the check of an opening.
// Both take the lock of the deployment and that of an upstream.
func TestChecksDoNotDeadlock(t *testing.T) {
	d := newDeployment(Options{}, t.TempDir())
	d.routedServices[virtualAddresses[0]] = map[string]bool{"orders": true}
	key := flowKey{netip.MustParseAddrPort("127.80.0.201:1024"), virtualAddresses[0]}
	agent := &process{settings: platformtest.Settings{Address: loopback.NumberedHost(1)}}
	u := &upstream{deployment: d, agent: agent, id: "i-1", service: "orders", flows: map[flowKey]*upstreamFlow{}}
	d.upstreams[netip.MustParseAddrPort(loopback.NumberedHost(1).String()+":18504")] = u
	var checks sync.WaitGroup
	for _, check := range []func(){
		func() { d.checkReset(key) },
		func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.checkOpening(&platformtest.Packet{To: virtualAddresses[0]})
		},
	} {
		checks.Go(func() {
			for range 20_000 {
				check()
			}
		})
	}
	finished := make(chan struct{})
	go func() { checks.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("the checks have deadlocked")
	}
}

// Guards against a regressions.txt that cannot be parsed.
func TestRegressionFileIsReadable(t *testing.T) {
	_, err := regressionSeeds()
	require.NoError(t, err)
}

// Guards against changed packets that pass the checksum and the check of unused
// fields. Also guards against returned packets that fail the checksum.
func TestChangedPacketsAreDetected(t *testing.T) {
	packet := platformtest.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: virtualAddresses[0], Flags: platformtest.FlagSYN, Sequence: 7, Payload: []byte("x")}
	data := packet.Encode()
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 4
		decoded, err := platformtest.Decode(changed)
		require.True(t, err != nil || !decoded.ChecksumValid() || !platformtest.UnusedFieldsZero(changed), "byte %d", i)
	}
	data[18] |= platformtest.FlagReturned
	decoded, err := platformtest.Decode(data)
	require.NoError(t, err)
	require.True(t, decoded.ChecksumValid())
}

// An upstream must be able to follow another one at its address at once, also while
// processes are started. Otherwise the soak reports a failure of its own.
func TestUpstreamFollowsAnotherWhileProcessesStart(t *testing.T) {
	d := &deployment{upstreams: map[netip.AddrPort]*upstream{}, client: &http.Client{}}
	host := loopback.NumberedHost(2)
	agent := &process{settings: platformtest.Settings{Address: host, App: netip.AddrPortFrom(host, 18504), Service: "orders"}}
	ctx, cancel := context.WithCancel(t.Context())
	starters := sync.WaitGroup{}
	for range 4 {
		starters.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, os.Args[0], "-test.run", "^$").Run()
			}
		})
	}
	defer starters.Wait()
	defer cancel()
	for range 2000 {
		require.NoError(t, d.startUpstream(agent, "i"))
		d.upstreams[agent.settings.App].stop()
	}
}
