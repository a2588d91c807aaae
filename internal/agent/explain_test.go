package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// Guards against explanations that contradict the decisions: the holder, a
// registrar and an uninvolved member explain the same flow.
func TestExplain(t *testing.T) {
	s := tcpSetup()
	s.nodes = 4
	x := newExchange(t, s)
	c := x.caller(1)
	c.connect()
	holder := c.holder()
	// The second registrar gets a flow when it has been confirmed.
	x.run(confirmInterval + 2*linkDelay)
	k := holder.core.registrars(x.svc(), testHasher.Hash(c.key))
	for i, n := range x.nodes {
		e := n.core.Explain(x.now, c.key)
		require.Len(t, e.Ranking, 4)
		require.Equal(t, x.svc().Members[x.svc().Home(testHasher.Hash(c.key))].VM, e.Home)
		switch {
		case n == holder:
			require.Equal(t, []string{"held here"}, e.Reasons)
			require.Equal(t, "established", e.Flow.Phase)
			require.Len(t, e.Flow.Registrars, 2)
		case i == k.members[0] || i == k.members[1]:
			require.Equal(t, holder.id, e.Holder)
			require.NotNil(t, e.Registration)
		default:
			require.Contains(t, e.Reasons[0], "not known here")
		}
	}
	x.fill(10, 7)
	w := x.caller(30)
	w.send(w.meta(packet.SYN, 0))
	x.run(linkDelay * 2)
	require.Contains(t, x.node(x.svc().Placer(0)).core.Explain(x.now, w.key).Reasons[0], "waiting here")
}

// Guards against a flood of openings that pushes all other events out of the
// buffer, and against refusals without a reason.
func TestEventsAreSampled(t *testing.T) {
	s := longSetup()
	s.connections = 1
	x := newExchange(t, s)
	buffer := event.NewBuffer("up1", 1000)
	for _, n := range x.nodes {
		n.core.events = newSampler(buffer)
	}
	x.fill(0, 3)
	for i := range 200 {
		c := x.caller(10 + i)
		c.send(c.meta(packet.SYN, 0))
	}
	x.run(linkDelay * 4)
	require.Len(t, x.refused, 200)
	kinds := map[event.Kind]int{}
	for _, e := range buffer.List() {
		kinds[e.Kind]++
		require.NotEmpty(t, e.Reason)
	}
	require.LessOrEqual(t, kinds[event.Refused], 3*(eventBurst+1))
	require.Equal(t, 3, kinds[event.Placed])
}
