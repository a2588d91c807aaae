package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// The explanations of one flow by its holder, a registrar and an uninvolved
// member must agree with their decisions.
func TestExplain(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes = 4
	cluster := newTestCluster(t, setup)
	caller := cluster.caller(1)
	caller.connect()
	holder := caller.holder()
	// The second registrar gets the record of a flow when it is confirmed.
	cluster.advance(registerConfirmedInterval + 2*linkDelay)
	registrars := holder.core.registrars(cluster.service(), testHasher.Hash(caller.key))
	for i, node := range cluster.nodes {
		e := node.core.Explain(cluster.now, caller.key)
		require.Len(t, e.Ranking, 4)
		require.Equal(t, cluster.service().Members[cluster.service().Home(testHasher.Hash(caller.key))].VM, e.Home)
		switch {
		case node == holder:
			require.Equal(t, []string{"held here"}, e.Reasons)
			require.Equal(t, "established", e.Flow.Phase)
			require.Len(t, e.Flow.Registrars, 2)
		case i == registrars.members[0] || i == registrars.members[1]:
			require.Equal(t, holder.vm, e.Holder)
			require.NotNil(t, e.Registration)
		default:
			require.Contains(t, e.Reasons[0], "not known here")
		}
	}
	cluster.connectCallers(10, 7)
	queued := cluster.caller(30)
	queued.send(queued.meta(packet.SYN, 0))
	cluster.advance(linkDelay * 2)
	require.Contains(t, cluster.node(cluster.service().Placer(0)).core.Explain(cluster.now, queued.key).Reasons[0], "waiting here")
}

// A flood of openings must not evict all other events from the buffer, and each
// refusal must have a reason.
func TestEventsAreSampled(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.connections = 1
	cluster := newTestCluster(t, setup)
	buffer := event.NewBuffer("up1", 1000)
	for _, node := range cluster.nodes {
		node.core.events = newEventSampler(buffer)
	}
	cluster.connectCallers(0, 3)
	for i := range 200 {
		caller := cluster.caller(10 + i)
		caller.send(caller.meta(packet.SYN, 0))
	}
	cluster.advance(linkDelay * 4)
	require.Len(t, cluster.refused, 200)
	kinds := map[event.Kind]int{}
	for _, e := range buffer.List() {
		kinds[e.Kind]++
		require.NotEmpty(t, e.Reason)
	}
	require.LessOrEqual(t, kinds[event.Refused], 3*(eventBurst+1))
	require.Equal(t, 3, kinds[event.Placed])
}
