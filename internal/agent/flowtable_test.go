package agent

import (
	"flag"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// singleCore returns a core that is the only member of its service.
func singleCore(setup testSetup) (*Core, time.Time) {
	setup.nodes, setup.skipGracePeriod = 1, true
	cluster := newTestCluster(&testing.T{}, setup)
	return cluster.node(0).core, cluster.now
}

func tcpPacket(n int, flags packet.TCPFlags, seq, ack uint32, payload int) packet.Meta {
	address := netip.AddrFrom4([4]byte{198, byte(n >> 24), byte(n >> 16), byte(n >> 8)})
	return packet.Meta{
		Source: netip.AddrPortFrom(address, uint16(1024+n%60_000)), Destination: testVirtual,
		Protocol: packet.ProtocolTCP, Flags: flags, Sequence: seq, Ack: ack, PayloadBytes: payload,
	}
}

// checkTableCounts compares the counts of the flow table with its content.
func checkTableCounts(t require.TestingT, c *Core) {
	var slots, aliases int64
	counts := map[flow.Phase]int64{}
	for i := range c.flows.shards {
		shard := &c.flows.shards[i]
		linked := 0
		for _, head := range shard.wheel.buckets {
			for f := head; f != nil; f = f.next {
				linked++
			}
		}
		require.Equal(t, len(shard.flows), linked, "every flow is linked in the expiry wheel")
		for _, f := range shard.flows {
			counts[f.phase]++
			if f.flags.has(usesSlot) {
				slots++
			}
			require.Same(t, f, c.aliases.owner(f.alias, f.key.Protocol))
		}
	}
	for i := range c.aliases.shards {
		aliases += int64(len(c.aliases.shards[i].owners))
	}
	established, halfOpen := c.flows.counts()
	require.Equal(t, counts[flow.Established], int64(established))
	require.Equal(t, counts[flow.HalfOpen], int64(halfOpen))
	require.Equal(t, counts[flow.Closing], c.flows.closingCount.Load())
	require.Equal(t, slots, c.flows.usedSlots.Load())
	require.Equal(t, aliases, counts[flow.Established]+counts[flow.HalfOpen]+counts[flow.Closing])
}

// The counts of slots, phases and aliases must equal the content of the flow
// table, and limits must not be exceeded. An established flow must end only by a
// FIN, a reset or its idle timeout.
func TestFlowTableProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		setup := tcpShortRequestSetup()
		setup.slots, setup.connections, setup.limits = 4, 6, Limits{HalfOpen: 3}
		if rapid.Bool().Draw(t, "long") {
			setup = tcpLongFlowSetup()
			setup.connections, setup.limits = 6, Limits{HalfOpen: 3}
		}
		c, now := singleCore(setup)
		var out Actions
		ended := map[flow.Key]bool{}
		established := map[flow.Key]bool{}
		header := frame.Header{Service: 1}
		handle := func(n int, flags packet.TCPFlags, seq uint32) {
			out.Clear()
			meta := tcpPacket(n, flags, seq, 5001, 0)
			header.Flags = 0
			if meta.IsOpening() {
				header.Flags = frame.FlagOpening
			}
			c.HandleFrame(now, &header, &meta, &out)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				checkTableCounts(t, c)
				establishedCount, halfOpenCount := c.FlowCounts()
				require.LessOrEqual(t, halfOpenCount, 3)
				require.LessOrEqual(t, establishedCount+halfOpenCount, 6)
				for key := range established {
					require.True(t, ended[key] || c.holds(flowRef{hash: testHasher.Hash(key), key: key}))
				}
			},
			"packet": func(t *rapid.T) {
				n := rapid.IntRange(0, 9).Draw(t, "caller")
				flags := rapid.SampledFrom([]packet.TCPFlags{packet.SYN, packet.ACK, packet.RST, packet.FIN | packet.ACK}).Draw(t, "flags")
				seq := uint32(rapid.IntRange(1000, 1002).Draw(t, "sequence"))
				meta := tcpPacket(n, flags, seq, 0, 0)
				if flags != packet.ACK {
					ended[meta.CallerKey()] = ended[meta.CallerKey()] || flags != packet.SYN
				}
				handle(n, flags, seq)
			},
			"upstream": func(t *rapid.T) {
				meta := tcpPacket(rapid.IntRange(0, 9).Draw(t, "caller"), 0, 0, 0, 0)
				hash := testHasher.Hash(meta.CallerKey())
				f := c.flows.shard(hash).find(hash, meta.CallerKey())
				if f == nil {
					return
				}
				out.Clear()
				c.HandleUpstreamPacket(now, &packet.Meta{
					Destination: f.alias, Protocol: packet.ProtocolTCP, Flags: packet.SYN | packet.ACK, Sequence: 5000, Ack: 1001,
				}, &out)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				out.Clear()
				c.Tick(now, &out)
			},
			"confirmed": func(*rapid.T) {
				for i := range c.flows.shards {
					for _, f := range c.flows.shards[i].flows {
						if f.phase == flow.Established && !ended[f.key] {
							established[f.key] = true
						}
					}
				}
			},
		})
	})
}

// establishFlows opens flows and completes their handshakes.
func establishFlows(c *Core, now time.Time, count int) {
	var out Actions
	for n := range count {
		out.Clear()
		syn := tcpPacket(n, packet.SYN, 1000, 0, 0)
		c.HandleFrame(now, &frame.Header{Service: 1, Flags: frame.FlagOpening}, &syn, &out)
		alias := out.List[0].Alias
		c.HandleUpstreamPacket(now, &packet.Meta{
			Destination: alias, Protocol: packet.ProtocolTCP, Flags: packet.SYN | packet.ACK, Sequence: 5000, Ack: 1001,
		}, &out)
		ack := tcpPacket(n, packet.ACK, 1001, 5001, 0)
		c.HandleFrame(now, &frame.Header{Service: 1}, &ack, &out)
	}
}

func largeTableSetup() testSetup {
	setup := tcpLongFlowSetup()
	setup.connections, setup.limits = 1_000_000, Limits{HalfOpen: 1_000_000}
	return setup
}

// Guards against memory that is allocated for each packet of an established
// flow, because garbage collection then reduces throughput.
func TestNoAllocationPerPacket(t *testing.T) {
	c, now := singleCore(largeTableSetup())
	establishFlows(c, now, 100)
	var out Actions
	header := frame.Header{Service: 1}
	meta := tcpPacket(7, packet.ACK, 1001, 5001, 100)
	c.HandleFrame(now, &header, &meta, &out)
	reply := packet.Meta{Destination: out.List[0].Alias, Protocol: packet.ProtocolTCP, Flags: packet.ACK, Sequence: 5001, PayloadBytes: 100, Ack: 1101}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		out.Clear()
		c.HandleFrame(now, &header, &meta, &out)
		c.HandleUpstreamPacket(now, &reply, &out)
	}))
	require.Len(t, out.List, 2)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		out.Clear()
		c.Tick(now, &out)
	}))
}

// Guards against data races and deadlocks between packets, messages, ticks,
// views and exports.
func TestConcurrentUse(t *testing.T) {
	c, now := singleCore(largeTableSetup())
	establishFlows(c, now, 200)
	state := c.viewState.Load()
	var group sync.WaitGroup
	for worker := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			var out Actions
			for i := range 500 {
				out.Clear()
				n := (i*7 + worker) % 400
				at := now.Add(time.Duration(i) * time.Millisecond)
				for _, flags := range []packet.TCPFlags{packet.SYN, packet.ACK, packet.FIN | packet.ACK, packet.RST} {
					meta := tcpPacket(n, flags, 1001, 5001, 0)
					c.HandleFrame(at, &frame.Header{Service: 1, Flags: frame.FlagOpening}, &meta, &out)
				}
				switch i % 50 {
				case 0:
					c.Tick(at, &out)
				case 1:
					c.SetView(state.view)
				case 2:
					c.Export()
				case 3:
					c.PendingWork()
				case 4:
					c.SetUpstreamLoad(UpstreamLoad{Busy: i})
				}
			}
		}()
	}
	group.Wait()
	checkTableCounts(t, c)
}
