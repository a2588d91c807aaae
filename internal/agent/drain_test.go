package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

// Guards against a leaving agent that takes new work, cuts a long flow, or
// ends before its last flow has.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(x *exchange, i int)
	}{
		{"signal", func(x *exchange, i int) { x.node(i).core.Drain(x.now) }},
		{"rule", func(x *exchange, i int) {
			x.status(i, view.Leaving)
			x.spread()
			x.run(100 * time.Millisecond)
			x.node(i).core.Drain(x.now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := tcpSetup()
			s.slots = 20
			x := newExchange(t, s)
			placer := x.svc().Placer(0)
			feeds := x.fill(0, 12)
			n := x.node(placer) // The placer itself leaves: the hardest member.
			test.leave(x, placer)
			established, _ := n.core.Flows()
			require.NotZero(t, established)
			x.fill(50, 12)
			after, _ := n.core.Flows()
			require.Equal(t, established, after, "no new work")
			require.Empty(t, x.refused)
			require.Equal(t, []PendingWork{{WaitingEstablished, established}}, n.core.PendingWork())
			for range 2 {
				x.run(3 * time.Hour)
				for _, c := range feeds {
					c.request(1)
				}
			}
			require.False(t, n.core.Done())
			for _, c := range feeds {
				c.finish()
			}
			x.run(11 * time.Second)
			require.True(t, n.core.Done())
			require.Empty(t, x.resets)
			require.Len(t, x.executed, 2*len(feeds))
		})
	}
}

// Guards against callers of a lost upstream that wait for hours, and against a
// reset while the upstream is only suspected.
func TestUpstreamLost(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	n := c.holder()
	i := c.holderIndex()
	n.down = true
	x.status(i, view.Suspected)
	x.spread()
	c.request(10)
	require.Empty(t, x.resets)
	x.status(i, view.Failed)
	x.spread()
	c.request(10)
	require.Equal(t, 1, x.resets[c.key])
	other := x.caller(2)
	other.connect()
	require.Equal(t, flow.Established, phaseOf(other.holder(), other.key))
}

// Guards against two views in use at once sending a packet into a loop, to a
// reset, or to an upstream that does not hold the flow.
func TestTwoViews(t *testing.T) {
	s := tcpSetup()
	s.nodes, s.slots = 4, 20
	x := newExchange(t, s)
	callers := x.fill(0, 20)
	x.status(3, view.Leaving)
	x.status(2, view.Suspected)
	x.spread(x.node(0), x.node(1))
	for range 5 {
		x.run(time.Second)
		for _, c := range callers {
			delete(x.hints, c.key)
			c.request(10)
		}
	}
	more := x.fill(100, 20)
	x.spread()
	for _, c := range more {
		delete(x.hints, c.key)
		c.request(10)
	}
	require.Empty(t, x.resets)
	require.Empty(t, x.refused)
	require.Len(t, x.executed, 20*5+20)
	for id, times := range x.executed {
		require.Equal(t, 1, times, id)
	}
}

// Guards against a refusal of an opening that was run: the table proves that
// no payload was delivered, and views or lives that are too young prove nothing.
func TestRefusalProof(t *testing.T) {
	for _, test := range []struct {
		name                                  string
		idempotent, payload, delivered, young bool
		want                                  Kind
	}{
		{"no flow", true, false, false, false, Refuse},
		{"flow without payload", true, false, false, true, Refuse},
		{"payload delivered", true, true, true, false, Drop},
		{"copy may run elsewhere", false, true, false, true, Drop},
		{"no copy can run elsewhere", false, true, false, false, Refuse},
		{"idempotent", true, true, false, true, Refuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := tcpSetup()
			s.contract.Idempotent = test.idempotent
			x := newExchange(t, s)
			c := x.caller(1)
			c.connect()
			n := c.holder()
			if test.delivered {
				c.request(10)
			}
			if test.young {
				x.status(2, view.Leaving)
				x.spread()
			}
			m := c.meta(packet.SYN, 0)
			if test.payload {
				m.PayloadBytes = 5
			}
			a := arrival{now: x.now, svc: x.svc(), m: &m, key: c.key, hash: testHasher.Hash(c.key)}
			var out Actions
			n.core.refuse(&a, NoSlot, &out)
			require.Equal(t, test.want, out.List[0].Kind)
		})
	}
}

// Guards against a reset of a new flow of an upstream that has returned, by a
// registrar whose view still has its earlier life as failed.
func TestUpstreamReturned(t *testing.T) {
	s := tcpSetup()
	s.nodes, s.slots = 4, 20
	x := newExchange(t, s)
	x.node(1).down = true
	x.status(1, view.Failed)
	x.spread()
	x.run(GracePeriod)
	n := x.restart(1, false)
	x.status(1, view.Ready)
	old := x.view
	x.spread()
	for _, other := range x.nodes {
		if x.svc().Placer(0) != x.svc().Index(other.id) && other != n {
			other.core.state.Store(other.core.newState(old, nil))
		}
	}
	callers := x.fill(0, 40)
	for _, c := range callers {
		delete(x.hints, c.key)
		c.request(10)
	}
	established, _ := n.core.Flows()
	require.NotZero(t, established)
	require.Empty(t, x.resets)
	require.Len(t, x.executed, 40)
}

// Guards against packets that are forwarded to a suspected member, which may be
// dead, while a member that answers holds their flow.
func TestSuspectedMemberComesLast(t *testing.T) {
	s := tcpSetup()
	s.nodes, s.slots = 5, 20
	x := newExchange(t, s)
	callers := x.fill(0, 30)
	x.node(2).down = true
	x.status(2, view.Suspected)
	x.spread()
	for _, n := range x.nodes {
		n.core.peers = newRegistry(n.core.cfg.Limits.Registrations) // All registrations are lost.
	}
	want := 0
	for _, c := range callers {
		if c.holder() == nil {
			continue
		}
		want++
		p := heldPacket{m: c.meta(packet.ACK, 10)}
		p.h.Service, p.h.Origin = 1, x.origin()
		x.frame(x.node(0), p)
	}
	x.run(10 * linkDelay)
	require.Len(t, x.executed, want)
}

// Guards against openings that are lost while the placer asks a home that is
// suspected and may be dead.
func TestProbeSkipsSuspectedHome(t *testing.T) {
	s := tcpSetup()
	s.nodes, s.slots = 4, 20
	x := newExchange(t, s)
	dead := 0
	for dead == x.svc().Placer(0) {
		dead++
	}
	x.node(dead).down = true
	x.status(dead, view.Suspected)
	x.spread()
	for _, c := range x.fill(0, 30) {
		require.NotNil(t, c.holder())
	}
}
