package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// crash stops a node and starts its next life, which the members see at once.
func (x *exchange) crash(i int) *testNode {
	x.node(i).down = true
	x.run(50 * time.Millisecond)
	n := x.restart(i, true)
	x.status(i, view.Starting)
	x.spread()
	return n
}

func (x *exchange) ready(i int) {
	x.status(i, view.Ready)
	x.spread()
}

// Guards against flows, aliases and slots that a restart of an agent loses,
// also when messages are lost, repeated, late and out of order, and when one
// of the two registrars is lost at the same time.
func TestRecovery(t *testing.T) {
	for _, test := range []struct {
		name          string
		fault         func(*peer.Message) []time.Duration
		lostRegistrar bool
	}{
		{"sound links", nil, false},
		{"a third lost, late and repeated", lossy(11, 0.33, 0.3, 40*time.Millisecond), false},
		{"a registrar lost", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := tcpSetup()
			s.nodes, s.slots = 4, 20
			x := newExchange(t, s)
			callers := x.fill(0, 60)
			x.run(GracePeriod)
			held := map[*caller]string{}
			for _, c := range callers {
				if c.holder() == x.node(1) {
					held[c] = x.alias(x.node(1), c.key).String()
				}
			}
			require.NotEmpty(t, held)
			if test.lostRegistrar {
				x.node(2).down = true
				x.status(2, view.Failed)
			}
			if test.fault != nil {
				x.fault = test.fault
			}
			n := x.crash(1)
			for c := range held {
				c.send(c.meta(packet.ACK, 10)) // Arrives while flows are recovered.
			}
			x.run(RecoveryLimit + 100*time.Millisecond)
			require.False(t, n.core.Recovering())
			x.ready(1)
			require.Len(t, x.executed, len(held))
			require.EqualValues(t, len(held), n.core.flows.slots.Load())
			for c, alias := range held {
				require.Equal(t, alias, x.alias(n, c.key).String())
			}
			require.Empty(t, x.resets)
		})
	}
}

// Guards against a crash at any step of an opening that leaves the caller with
// a wrong result: a lost opening is repeated, and nothing runs twice.
func TestCrashDuringOpening(t *testing.T) {
	for _, at := range []time.Duration{0, 4 * time.Millisecond, 7 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond} {
		x := newExchange(t, tcpSetup())
		c := x.caller(1)
		c.send(c.meta(packet.SYN, 0))
		x.run(at)
		victim := max(c.holderIndex(), 0)
		x.crash(victim)
		x.run(time.Second)
		x.ready(victim)
		if len(x.replies[c.key]) == 0 {
			c.send(c.meta(packet.SYN, 0))
			x.run(100 * time.Millisecond)
		}
		require.NotEmpty(t, x.replies[c.key], "crash after %s", at)
		c.seq++
		c.send(c.meta(packet.ACK, 0))
		x.run(30 * time.Millisecond)
		c.request(10)
		require.Len(t, x.executed, 1, "crash after %s", at)
		require.Empty(t, x.resets)
	}
}

// Guards against a flow that was opened but whose registrations were both lost
// before a crash being served by the wrong upstream: its caller is reset, and
// only once no view can differ.
func TestUnregisteredFlowIsReset(t *testing.T) {
	x := newExchange(t, tcpSetup())
	x.fault = func(m *peer.Message) []time.Duration {
		if m.Register != nil {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	c := x.caller(1)
	c.connect()
	i := c.holderIndex()
	x.crash(i)
	x.run(RecoveryLimit)
	x.ready(i)
	c.request(10)
	require.Empty(t, x.resets)
	x.run(GracePeriod)
	c.request(10)
	require.Equal(t, 1, x.resets[c.key])
	require.Empty(t, x.executed)
}

// Guards against packets of an earlier life being taken for flows of this one,
// and against late registrations and endings of an earlier life.
func TestIncarnations(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	i := c.holderIndex()
	n := x.crash(i)
	x.run(time.Second)
	require.EqualValues(t, 1, n.core.oldest.Load(), "flows of the first life were taken over")
	registrar := x.node(n.core.registrars(x.svc(), testHasher.Hash(c.key)).members[0])
	old := &peer.Message{Register: &peer.Register{Holder: n.id, Incarnation: 1}}
	x.message(registrar, old)
	require.Equal(t, 1, x.drops[StaleIncarnation])
	x.message(registrar, &peer.Message{Unregister: &peer.Unregister{Holder: n.id, Incarnation: 1, Flows: []flow.Key{c.key}}})
	_, kept := registrar.core.peers.find(flowRef{hash: testHasher.Hash(c.key), key: c.key})
	require.True(t, kept)

	x.restart(i, false)
	x.spread()
	m := c.meta(packet.ACK, 1)
	h := heldPacket{m: m}
	h.h.Service, h.h.Incarnation, h.h.Origin = 1, 2, x.origin()
	x.arrive(x.node(i), h)
	require.Equal(t, 2, x.drops[StaleIncarnation])
	require.Equal(t, vm.ID(""), x.hints[c.key], "the hint of the balancer is deleted")
}

// Guards against a recovery that holds packets without bound.
func TestRecoveryBuffer(t *testing.T) {
	s := tcpSetup()
	s.limits = Limits{Recovery: 5}
	x := newExchange(t, s)
	x.fault = func(*peer.Message) []time.Duration { return nil }
	n := x.crash(1)
	for i := range 8 {
		c := x.caller(i)
		h := heldPacket{m: c.meta(packet.ACK, 1)}
		h.h.Service = 1
		x.arrive(n, h)
	}
	require.Len(t, n.held, 5)
	require.Equal(t, 3, x.drops[BufferFull])
	x.run(RecoveryLimit)
	require.Empty(t, n.held)
}

// Guards against a planned restart of a lone upstream that loses flows, and
// against a handoff of another VM or life.
func TestHandoff(t *testing.T) {
	s := tcpSetup()
	s.nodes, s.slots = 1, 10
	x := newExchange(t, s)
	callers := x.fill(0, 5)
	body, err := EncodeHandoff(x.node(0).core.Export())
	require.NoError(t, err)
	h, err := DecodeHandoff(body)
	require.NoError(t, err)
	_, err = x.node(0).core.Import(x.now, h)
	require.Error(t, err, "its own life is not an earlier one")
	n := x.restart(0, true)
	x.spread()
	count, err := n.core.Import(x.now, h)
	require.NoError(t, err)
	require.Equal(t, 5, count)
	x.run(100 * time.Millisecond)
	for _, c := range callers {
		c.request(10)
	}
	require.Len(t, x.executed, 5)
	require.EqualValues(t, 5, n.core.flows.slots.Load())
	h.VM = "up2"
	_, err = n.core.Import(x.now, h)
	require.Error(t, err)
	_, err = DecodeHandoff(body[:len(body)/2])
	require.Error(t, err)
}

// Guards against a slot that is held for hours by a flow that ended while its
// agent restarted, and against losing count when the flow is alive after all.
func TestQuietFlowReturnsSlot(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	i := c.holderIndex()
	n := x.crash(i)
	x.run(time.Second)
	x.ready(i)
	require.EqualValues(t, 1, n.core.flows.slots.Load())
	x.run(quietLimit + 5*time.Second)
	require.Zero(t, n.core.flows.slots.Load())
	c.request(10)
	require.Len(t, x.executed, 1)
	require.EqualValues(t, 1, n.core.flows.slots.Load())
}

// Guards against flows of an upstream process that has ended taking slots of
// the next one, for which openings then wait.
func TestFlowsOfEarlierUpstream(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	i := c.holderIndex()
	x.node(i).cfg.UpstreamStarted = x.now
	n := x.crash(i)
	x.run(time.Second)
	require.False(t, n.core.Recovering())
	require.Nil(t, c.holder())
	require.Zero(t, n.core.flows.slots.Load())
}

// Guards against registrations that do not follow a change of view within 1 s,
// and against a change that moves all of them.
func TestRegistrationsFollowView(t *testing.T) {
	s := longSetup()
	s.nodes = 4
	x := newExchange(t, s)
	callers := x.fill(0, 40)
	x.run(2 * time.Second)
	sent := 0
	x.fault = func(m *peer.Message) []time.Duration {
		if m.Register != nil {
			sent += len(m.Register.Flows)
		}
		return []time.Duration{linkDelay}
	}
	x.node(3).down = true
	x.status(3, view.Failed)
	x.spread()
	x.run(time.Second)
	require.Less(t, sent, 40)
	for _, c := range callers {
		if c.holder() == nil {
			continue
		}
		k := c.holder().core.registrars(x.svc(), testHasher.Hash(c.key))
		for _, i := range k.members[:k.count] {
			_, kept := x.node(i).core.peers.find(flowRef{hash: testHasher.Hash(c.key), key: c.key})
			require.True(t, kept)
		}
	}
}

// Guards against renewals that cost more than the control traffic of a node
// (3 KB/s), that let registrations run out, or that leave a lost one missing.
func TestRenewal(t *testing.T) {
	s := longSetup()
	s.nodes = 4
	x := newExchange(t, s)
	callers := x.fill(0, 200)
	x.run(5 * time.Second)
	lost := x.node(1).core
	for i := range lost.peers.shards {
		if i%4 == 0 {
			lost.peers.shards[i].flows = map[flow.Key]registration{}
		}
	}
	sent := 0
	x.fault = func(m *peer.Message) []time.Duration {
		if m.Load == nil {
			body, err := peer.Encode(m)
			require.NoError(t, err)
			sent += len(body)
		}
		return []time.Duration{linkDelay}
	}
	x.run(2 * refreshInterval)
	sent = 0
	x.run(5 * time.Minute)
	require.Less(t, sent/300/len(x.nodes), 3000, "bytes a second and node")
	for _, c := range callers {
		k := c.holder().core.registrars(x.svc(), testHasher.Hash(c.key))
		for _, i := range k.members[:k.count] {
			reg, kept := x.node(i).core.peers.find(flowRef{hash: testHasher.Hash(c.key), key: c.key})
			require.True(t, kept)
			require.Equal(t, c.holder().id, reg.holder)
		}
	}
	t.Logf("renewal of %d flows: %d B/s and node", len(callers)/len(x.nodes), sent/300/len(x.nodes))
}
