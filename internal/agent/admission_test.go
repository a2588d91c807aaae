package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

func (x *exchange) busy() (total int64) {
	for _, n := range x.nodes {
		total += n.core.flows.slots.Load()
	}
	return total
}

// fill takes all slots.
func (x *exchange) fill(from, count int) []*caller {
	var list []*caller
	for i := range count {
		c := x.caller(from + i)
		c.connect()
		list = append(list, c)
	}
	return list
}

// Guards against openings that are refused while others end, are served out of
// order, or wait at one upstream while another has had a free slot for longer
// than one exchange.
func TestQueueFirstInFirstOut(t *testing.T) {
	x := newExchange(t, tcpSetup())
	busy := x.fill(0, 6)
	require.EqualValues(t, 6, x.busy())
	first, second := x.caller(50), x.caller(51)
	first.send(first.meta(packet.SYN, 0))
	x.run(20 * time.Millisecond)
	second.send(second.meta(packet.SYN, 0))
	x.run(100 * time.Millisecond)
	require.Nil(t, first.holder())

	busy[3].finish()
	require.NotNil(t, first.holder())
	require.Nil(t, second.holder())
	busy[1].send(busy[1].meta(packet.RST, 0))
	// One exchange (load report, placed frame), and the interval of reports.
	x.run(4*linkDelay + 2*loadInterval)
	require.NotNil(t, second.holder())
	require.Empty(t, x.refused)
	require.EqualValues(t, 6, x.busy())
}

// Guards against openings that wait twice, wait after their caller has gone,
// or wait past the deadline of the contract.
func TestQueueEnds(t *testing.T) {
	syn := func(c *caller) { c.send(c.meta(packet.SYN, 0)) }
	for _, test := range []struct {
		name    string
		script  func(x *exchange, c *caller)
		refused []Reason
		reason  Reason
	}{
		{"deadline", func(x *exchange, c *caller) {
			x.run(900 * time.Millisecond)
			syn(c)
			x.run(1300 * time.Millisecond)
		}, []Reason{QueueDeadline}, AlreadyQueued},
		{"no retransmission", func(x *exchange, _ *caller) { x.run(1600 * time.Millisecond) }, nil, CallerGaveUp},
		{"reset", func(x *exchange, c *caller) {
			c.send(c.meta(packet.RST, 0))
			x.run(50 * time.Millisecond)
		}, nil, CallerGaveUp},
		{"port reused", func(x *exchange, c *caller) {
			c.seq = 5_000_000
			syn(c)
			x.run(50 * time.Millisecond)
		}, nil, CallerGaveUp},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, tcpSetup())
			x.fill(0, 6)
			c := x.caller(50)
			syn(c)
			x.run(20 * time.Millisecond)
			test.script(x, c)
			require.Equal(t, test.refused, x.refused[c.key])
			require.Equal(t, 1, x.drops[test.reason])
			held := 0
			for _, n := range x.nodes {
				held += len(n.held)
			}
			require.Equal(t, test.name == "port reused", held == 1)
			require.Empty(t, x.executed)
		})
	}
}

// Guards against an unbounded queue, and against a refusal while a bounded one
// has room.
func TestQueueBound(t *testing.T) {
	s := tcpSetup()
	s.limits = Limits{Queue: 3}
	x := newExchange(t, s)
	x.fill(0, 6)
	for i := range 5 {
		c := x.caller(50 + i)
		c.send(c.meta(packet.SYN, 0))
		x.run(10 * time.Millisecond)
	}
	require.Len(t, x.refused, 2)
	require.Equal(t, []Reason{QueueFull}, x.refused[x.caller(54).key])
}

// Guards against an opening whose SYN is repeated being placed twice, at any
// point of the opening.
func TestRepeatedOpening(t *testing.T) {
	for _, wait := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		x := newExchange(t, tcpSetup())
		x.answers = false
		c := x.caller(7)
		c.send(c.meta(packet.SYN, 0))
		x.run(wait)
		c.send(c.meta(packet.SYN, 0))
		x.run(50 * time.Millisecond)
		require.EqualValues(t, 1, x.busy(), "repeated after %s", wait)
	}
}

// Guards against a member that sheds load, leaves or is cold getting openings
// that others could take, and against openings that wait while only it is free.
func TestPlacementStatus(t *testing.T) {
	for _, test := range []struct {
		name     string
		priority service.Priority
		set      func(x *exchange)
		want     int64
		all      bool
	}{
		{"shedding", service.PreferBalance, func(x *exchange) { x.node(1).core.SetUpstreamLoad(UpstreamLoad{Shedding: true}) }, 0, false},
		{"draining", service.PreferBalance, func(x *exchange) { x.node(1).core.Drain(x.now) }, 0, false},
		{"suspected", service.PreferBalance, func(x *exchange) { x.status(1, view.Suspected); x.spread() }, 0, false},
		{"cold, survival", service.PreferSurvival, func(x *exchange) { x.members[1].WarmUpUntil = x.now.Add(slowStart); x.spread() }, 1, true},
		{"cold, balance", service.PreferBalance, func(x *exchange) { x.members[1].WarmUpUntil = x.now.Add(slowStart); x.spread() }, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := tcpSetup()
			s.slots, s.contract.Priority = 4, test.priority
			x := newExchange(t, s)
			test.set(x)
			x.run(50 * time.Millisecond)
			x.fill(0, 6)
			require.Equal(t, test.want, x.node(1).core.flows.slots.Load())
			x.fill(10, 6)
			if test.all {
				require.EqualValues(t, 12, x.busy(), "no opening waits while a cold upstream is free")
			}
		})
	}
}

// Guards against imbalance of long flows: the busy slots that the upstream
// reports decide, and a full connection table refuses.
func TestLongFlows(t *testing.T) {
	s := longSetup()
	s.connections = 3
	x := newExchange(t, s)
	x.node(0).core.SetUpstreamLoad(UpstreamLoad{Busy: 2})
	x.node(1).core.SetUpstreamLoad(UpstreamLoad{Busy: 1})
	x.run(time.Second)
	x.fill(0, 3)
	established, _ := x.node(2).core.Flows()
	require.Equal(t, 3, established, "flows hold no slot, so the least busy one gets them")
	x.fill(10, 6)
	c := x.caller(30)
	c.connect()
	require.Equal(t, []Reason{FlowLimit}, x.refused[c.key])
	require.EqualValues(t, 0, x.busy())
}

// Guards against a placer without load reports overloading one member, and
// against passing an opening round without end.
func TestPassedBack(t *testing.T) {
	x := newExchange(t, tcpSetup())
	svc := x.svc()
	c := x.caller(3)
	placer := svc.Placer(testHasher.Hash(c.key))
	for i := range x.nodes {
		if i != placer {
			x.node(i).core.draining.Store(true) // The placer has not heard of it yet.
		}
	}
	c.connect()
	require.Equal(t, x.node(placer), c.holder())
	require.Equal(t, flow.Established, phaseOf(c.holder(), c.key))
}

// Guards against placers that choose differently among equally busy members,
// and against a link between zones that costs no balance to avoid.
func TestTieBreak(t *testing.T) {
	x := newExchange(t, tcpSetup())
	svc := x.svc()
	for i := range 20 {
		hash := testHasher.Hash(x.caller(i).key)
		home := svc.Home(hash)
		for _, n := range x.nodes {
			require.Equal(t, home, n.core.breakTie(svc, 0b111, hash, x.origin()))
			if home != 1 {
				require.Equal(t, 1, n.core.breakTie(svc, 0b111&^(1<<home), hash, x.origin()), "the zone of the balancer")
			}
			require.Equal(t, ranking.FirstUnweighted(hash, svc.MemberHashes, 1<<home), n.core.breakTie(svc, 0b111&^(1<<home), hash, 0))
		}
	}
}
