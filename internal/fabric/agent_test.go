package fabric

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// Guards against agents that forget flows before the idle timeout of the desired state,
// which they do not get: the balancers would reset these flows.
func TestAgentKeepsFlowsForTheirLargestAge(t *testing.T) {
	for _, c := range []struct{ maxFlowAge, want time.Duration }{
		{time.Minute, time.Minute},
		{10 * time.Minute, 10 * time.Minute},
		{5 * time.Second, 5 * time.Second},
		{0, defaultMaxFlowAge},
	} {
		require.Equal(t, c.want, newAgentConfig(&Config{MaxFlowAge: c.maxFlowAge}, time.Now()).IdleTimeout)
	}
}

// Guards against a process that runs out of memory because its flow table may grow beyond
// its VM, and against one that has memory and takes no more flows.
func TestMaxFlowsFollowMemory(t *testing.T) {
	for memoryMB, want := range map[int64]int{0: defaultMaxFlows, 1: minMaxFlows, 152: 49_807, 284: 93_061, 4096: 1_342_177} {
		config := Config{MemoryBytes: memoryMB << 20}
		require.Equal(t, want, config.maxFlows(), "%d MB", memoryMB)
	}
}

// Guards against flows that take more memory than maxFlows assumes.
func TestMemoryOfFlows(t *testing.T) {
	const flows = 50_000
	agent := steering.NewAgent(steering.AgentConfig{Service: "a", IdleTimeout: time.Hour, MaxFlows: flows, StartedAt: time.Unix(0, 0)})
	var actions []steering.Action
	now := time.Unix(1, 0)
	_, accepted := agent.HandleCheckIn(now, steering.CheckIn{VM: "i", Service: "a", Incarnation: 1, Status: view.Ready, Slots: flows}, &actions)
	require.True(t, accepted)
	before := heapBytes()
	for i := range flows {
		key := flow.Key{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff)),
			Virtual: netip.MustParseAddrPort("198.18.0.1:443"),
		}
		agent.HandleUpstreamPacket(now, &steering.Packet{Flow: key, Flags: steering.ACK}, nil, &actions)
		actions = actions[:0]
	}
	used := heapBytes() - before
	_, held := agent.Load()
	require.Equal(t, flows, held)
	require.Less(t, used, int64(flows*flowBytes))
}

// heapBytes returns the size of all objects in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
