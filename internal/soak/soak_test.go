package soak

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/platform/ends"
)

// Guards against a soak that passes whatever the programs do: each check has to
// notice its breach.
func TestChecksNotice(t *testing.T) {
	key := conversation{netip.MustParseAddrPort("127.80.0.201:1024"), virtuals[0]}
	agent := &process{settings: ends.Settings{Address: netip.MustParseAddr("127.80.0.101")}}
	for name, c := range map[string]struct {
		act  func(w *world, u *upstream)
		rule string
	}{
		"a request runs twice":       {func(w *world, u *upstream) { w.ran(u, key, "a"); w.ran(u, key, "a") }, "TWICE"},
		"another service is reached": {func(_ *world, u *upstream) { u.service = "drying"; u.opening(&ends.Packet{To: virtuals[0]}) }, "ROUTE"},
		"an opening after the drain": {func(_ *world, u *upstream) {
			u.leavingAckedAt = time.Now().Add(-4 * time.Second)
			u.opening(&ends.Packet{To: virtuals[0]})
		}, "DRAIN"},
		"a living flow is reset":           {func(w *world, _ *upstream) { w.reset(key) }, "FLOW"},
		"a reset long after a fault":       {func(w *world, _ *upstream) { w.disturb(time.Now().Add(-5*time.Second), agent.address()); w.reset(key) }, "FLOW"},
		"a reset soon after a fault":       {func(w *world, _ *upstream) { w.disturb(time.Now(), agent.address()); w.reset(key) }, ""},
		"a flow that nobody holds is lost": {func(w *world, _ *upstream) { w.reset(conversation{key.caller, virtuals[1]}) }, ""},
		"all is well":                      {func(w *world, u *upstream) { w.ran(u, key, "a"); u.opening(&ends.Packet{To: virtuals[0]}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(Options{}, t.TempDir())
			w.routes[virtuals[0]] = map[string]bool{"orders": true}
			u := &upstream{world: w, agent: agent, id: "i-1", service: "orders", flows: map[conversation]*held{key: {open: true}}}
			w.upstreams[netip.MustParseAddrPort("127.80.0.101:18504")] = u
			c.act(w, u)
			if c.rule == "" {
				require.Empty(t, w.breaches)
				return
			}
			require.Len(t, w.breaches, 1)
			require.Contains(t, w.breaches[0], c.rule+":")
		})
	}
}

// Guards against a soak that stops because a reset and an opening are checked at the
// same time.
func TestChecksDoNotBlockEachOther(t *testing.T) {
	w := newWorld(Options{}, t.TempDir())
	w.routes[virtuals[0]] = map[string]bool{"orders": true}
	key := conversation{netip.MustParseAddrPort("127.80.0.201:1024"), virtuals[0]}
	agent := &process{settings: ends.Settings{Address: netip.MustParseAddr("127.80.0.101")}}
	u := &upstream{world: w, agent: agent, id: "i-1", service: "orders", flows: map[conversation]*held{}}
	w.upstreams[netip.MustParseAddrPort("127.80.0.101:18504")] = u
	var done sync.WaitGroup
	for _, check := range []func(){
		func() { w.reset(key) },
		func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.opening(&ends.Packet{To: virtuals[0]})
		},
	} {
		done.Go(func() {
			for range 20_000 {
				check()
			}
		})
	}
	finished := make(chan struct{})
	go func() { done.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("the checks wait for each other")
	}
}

// Guards against a list of regressions that cannot be played.
func TestRegressionsAreReadable(t *testing.T) {
	_, err := regressions()
	require.NoError(t, err)
}

// Guards against packets of the stand-ins that are taken as genuine after a change,
// and against returned ones that are not.
func TestGenuinePackets(t *testing.T) {
	p := ends.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: virtuals[0], Flags: ends.SYN, Sequence: 7, Payload: []byte("x")}
	data := p.Encode()
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 4
		got, err := ends.Decode(changed)
		require.True(t, err != nil || !got.ChecksumValid() || !ends.UnusedFieldsZero(changed), "byte %d", i)
	}
	data[18] |= ends.Returned
	got, err := ends.Decode(data)
	require.NoError(t, err)
	require.True(t, got.ChecksumValid())
}
