package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func tcpSetup() testSetup { return testSetup{nodes: 3, slots: 2, contract: shortContract()} }

func longSetup() testSetup {
	s := tcpSetup()
	s.contract.Shape = service.LongFlows
	return s
}

// Guards against a flow that ends early or stays after its end: slots that
// leak, feeds that are cut after one side has finished.
func TestPhases(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	n := c.holder()
	require.Equal(t, flow.Established, phaseOf(n, c.key))
	c.request(100)
	require.Len(t, x.executed, 1)

	c.send(c.meta(packet.ACK|packet.FIN, 0))
	x.run(time.Hour)
	require.Equal(t, flow.Established, phaseOf(n, c.key), "a half-closed flow is not cut")
	require.EqualValues(t, 1, n.core.flows.slots.Load())

	x.upstream(n, packet.Meta{Destination: x.alias(n, c.key), Protocol: 6, Flags: packet.FIN | packet.ACK})
	require.Equal(t, flow.Closing, phaseOf(n, c.key))
	require.Zero(t, n.core.flows.slots.Load())
	x.run(11 * time.Second)
	require.Nil(t, c.holder())
	require.Empty(t, n.core.PendingWork())
}

// Guards against resets from callers that do not fit ending a live flow, and
// against late or repeated SYNs opening a flow a second time.
func TestCallerPackets(t *testing.T) {
	for _, test := range []struct {
		name  string
		send  func(c *caller) packet.Meta
		phase flow.Phase
		drop  Reason
	}{
		{"reset with the next sequence number", func(c *caller) packet.Meta { return c.meta(packet.RST, 0) }, flow.Closing, ""},
		{"reset with another sequence number", func(c *caller) packet.Meta {
			c.seq += 5000
			return c.meta(packet.RST, 0)
		}, flow.Established, ""},
		{"repeated SYN", func(c *caller) packet.Meta {
			c.seq = 1000
			return c.meta(packet.SYN, 0)
		}, flow.Established, ""},
		{"ICMP quote", func(c *caller) packet.Meta {
			m := c.meta(packet.RST, 0)
			m.Quoted = true
			return m
		}, flow.Established, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, tcpSetup())
			c := x.caller(1)
			c.connect()
			c.request(10)
			n := c.holder()
			m := test.send(c)
			x.hints[c.key] = n.id
			c.send(m)
			x.run(50 * time.Millisecond)
			require.Equal(t, test.phase, phaseOf(n, c.key))
			require.Len(t, x.executed, 1)
		})
	}
}

// Guards against a caller that reuses its port being joined to its old
// connection, and a late SYN of the old one opening a flow.
func TestPortReuse(t *testing.T) {
	x := newExchange(t, tcpSetup())
	c := x.caller(1)
	c.connect()
	c.request(10)
	c.finish()
	first := c.holder()
	require.Equal(t, flow.Closing, phaseOf(first, c.key))
	before := x.alias(first, c.key)

	late := c.meta(packet.SYN, 0)
	late.Sequence = 1000
	c.send(late)
	x.run(50 * time.Millisecond)
	require.Equal(t, 1, x.drops[LateOpening])

	c.seq = 900_000
	x.replies[c.key] = nil
	c.connect()
	require.NotNil(t, c.holder())
	require.Equal(t, flow.Established, phaseOf(c.holder(), c.key))
	require.NotEqual(t, before, x.alias(c.holder(), c.key), "the upstream may remember the old alias")
	c.request(10)
	require.Len(t, x.executed, 2)
	require.Empty(t, x.resets)
}

// Guards against a restarted caller that is stuck on its old connection at one
// agent while its new one is open at another: the registrars end the old one.
func TestPortReuseElsewhere(t *testing.T) {
	s := longSetup()
	s.nodes = 5
	x := newExchange(t, s)
	c, old, other := x.strangerToPlacer()
	x.run(GracePeriod)
	for _, n := range x.nodes {
		n.core.SetUpstreamLoad(UpstreamLoad{Busy: 2})
	}
	other.core.SetUpstreamLoad(UpstreamLoad{Busy: 0})
	x.run(time.Second)
	c.seq = 700_000
	x.replies[c.key] = nil
	x.hints = map[flow.Key]vm.ID{}
	c.connect()
	require.Equal(t, flow.Established, phaseOf(other, c.key))
	x.run(2 * time.Second)
	require.NotEqual(t, flow.Established, phaseOf(old, c.key))
	x.hints = map[flow.Key]vm.ID{}
	c.request(10)
	require.Len(t, x.executed, 1)
	require.Empty(t, x.resets)
}

// strangerToPlacer connects a caller whose flow the placer neither holds nor
// keeps registered, and returns its holder and another node.
func (x *exchange) strangerToPlacer() (c *caller, holder, other *testNode) {
	for i := range 100 {
		c = x.caller(i)
		c.connect()
		holder = c.holder()
		placer := x.svc().Placer(testHasher.Hash(c.key))
		k := holder.core.registrars(x.svc(), testHasher.Hash(c.key))
		if x.nodes[placer] != holder && k.members[0] != placer && k.members[1] != placer {
			return c, holder, x.nodes[placer]
		}
	}
	x.t.Fatal("no such caller")
	return nil, nil, nil
}

// Guards against a flood of half-open flows that blocks openings or pushes out
// an established flow, and against more flows than the connection limit.
func TestLimits(t *testing.T) {
	s := longSetup()
	s.nodes, s.connections, s.limits = 1, 8, Limits{HalfOpen: 4}
	x := newExchange(t, s)
	n := x.node(0)
	kept := x.caller(1)
	kept.connect()
	for i := range 20 {
		c := x.caller(100 + i)
		c.send(c.meta(packet.SYN, 0))
		x.run(time.Millisecond)
	}
	x.run(20 * time.Millisecond)
	established, halfOpen := n.core.Flows()
	require.Equal(t, 1, established)
	require.Equal(t, 4, halfOpen)
	require.Nil(t, x.caller(100).holder(), "the oldest half-open flow is dropped")
	require.NotNil(t, x.caller(119).holder())

	x.run(12 * time.Second)
	for i := range 7 {
		x.caller(200 + i).connect()
	}
	established, _ = n.core.Flows()
	require.Equal(t, 8, established)
	late := x.caller(300)
	late.connect()
	require.Equal(t, []Reason{FlowLimit}, x.refused[late.key])
	require.NotNil(t, kept.holder())
}

// Guards against UDP flows that never end, or that end while they are in use.
func TestDatagrams(t *testing.T) {
	s := tcpSetup()
	s.protocol = service.UDP
	x := newExchange(t, s)
	c := x.caller(1)
	for range 5 {
		c.send(c.meta(0, 50))
		x.run(40 * time.Second)
	}
	require.NotNil(t, c.holder())
	require.Len(t, x.replies[c.key], 5)
	x.run(61 * time.Second)
	require.Nil(t, c.holder())
}
