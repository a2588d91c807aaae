package agent

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// testCluster connects a few cores on virtual time. Messages between them are
// encoded and decoded.
type testCluster struct {
	t          *testing.T
	now        time.Time
	state      *intent.State
	members    []view.Member
	view       *view.View
	nodes      []*testNode
	events     eventQueue
	lastOrder  int
	nextTickAt time.Time
	// messageDelays returns a delay for each copy of a message that arrives.
	// Without a delay the message is lost.
	messageDelays func(m *peer.Message) []time.Duration
	// upstreamsReply is false while the upstreams send no packets.
	upstreamsReply bool

	// payloadDeliveries counts the deliveries of each payload. payloadReceivers
	// holds the upstreams that got a payload of a flow.
	payloadDeliveries map[string]int
	payloadReceivers  map[flow.Key]map[vm.ID]bool
	replies           map[flow.Key][]packet.Meta
	refused           map[flow.Key][]Reason
	resets            map[flow.Key]int
	drops             map[Reason]int
	hints             map[flow.Key]vm.ID
}

// testNode is a VM with its agent. Its upstream is simulated.
type testNode struct {
	core     *Core
	vm       vm.ID
	buffered map[uint64]testPacket
	down     bool
	cfg      Config
}

// testPacket is a packet of a caller with its frame header.
type testPacket struct {
	header frame.Header
	meta   packet.Meta
}

// timedEvent runs at a virtual time. Events of the same time run in the order
// in which they were scheduled.
type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var (
	testVirtual = netip.MustParseAddrPort("192.0.2.1:80")
	testHasher  = flow.Hasher{K0: 1, K1: 2}
	linkDelay   = 3 * time.Millisecond
)

// testSetup describes the cluster of a test.
type testSetup struct {
	nodes, slots, connections int
	contract                  service.Contract
	protocol                  service.Protocol
	limits                    Limits
	// skipGracePeriod starts the test without waiting for the grace period of the
	// first view.
	skipGracePeriod bool
}

func shortContract() service.Contract {
	return service.Contract{Idempotent: true, Shape: service.ShapeShortRequests, QueueDeadline: 2 * time.Second, Priority: service.PriorityBalance}
}

func newTestCluster(t *testing.T, setup testSetup) *testCluster {
	if setup.connections == 0 {
		setup.connections = 2000
	}
	if setup.protocol == "" {
		setup.protocol = service.TCP
	}
	cluster := &testCluster{
		t: t, now: time.Unix(1_000_000, 0), upstreamsReply: true,
		payloadDeliveries: map[string]int{}, payloadReceivers: map[flow.Key]map[vm.ID]bool{}, replies: map[flow.Key][]packet.Meta{}, refused: map[flow.Key][]Reason{},
		resets: map[flow.Key]int{}, drops: map[Reason]int{}, hints: map[flow.Key]vm.ID{},
	}
	cluster.messageDelays = func(*peer.Message) []time.Duration { return []time.Duration{linkDelay} }
	cluster.state = &intent.State{Revision: 1, Services: []intent.Service{{
		ID: 1, Name: "orders", Traffic: true, Contract: setup.contract,
		Endpoint: service.Endpoint{Address: testVirtual, Protocol: setup.protocol},
	}}}
	for i := range setup.nodes {
		id := vm.ID(fmt.Sprintf("up%d", i+1))
		memberZone := zone.ID{Region: "eu", Name: fmt.Sprintf("z%d", i%3)}
		cluster.state.VMs = append(cluster.state.VMs, intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{
			ID: id, Zone: memberZone, Role: vm.RoleUpstream, Service: "orders", Slots: setup.slots, Connections: setup.connections,
		}})
		cluster.members = append(cluster.members, view.Member{
			VM: id, Role: vm.RoleUpstream, Zone: memberZone, Service: "orders", Status: view.Ready, Incarnation: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
		})
		cluster.nodes = append(cluster.nodes, &testNode{vm: id, buffered: map[uint64]testPacket{}, cfg: Config{
			VM: id, Service: "orders", Incarnation: 1, Upstream: netip.MustParseAddrPort("127.0.0.1:8080"),
			Aliases: netip.MustParsePrefix("10.200.0.0/24"), Hasher: testHasher, Limits: setup.limits,
		}})
	}
	balancer := intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{ID: "lb1", Role: vm.RoleBalancer, Zone: zone.ID{Region: "eu", Name: "z1"}}}
	cluster.state.VMs = append(cluster.state.VMs, balancer)
	cluster.members = append(cluster.members, view.Member{
		VM: "lb1", Role: vm.RoleBalancer, Zone: balancer.Zone, Status: view.Ready,
		Address: netip.MustParseAddrPort("10.0.1.1:7000"),
	})
	for _, node := range cluster.nodes {
		node.core = New(node.cfg)
	}
	cluster.publishView()
	cluster.nextTickAt = cluster.now
	if !setup.skipGracePeriod {
		cluster.advance(2 * GracePeriod)
	}
	return cluster
}

// publishView builds the next view and sets it at the nodes (all if none is
// named).
func (cluster *testCluster) publishView(receivers ...*testNode) {
	cluster.state = cluster.state.Clone()
	cluster.state.Revision++
	cluster.view = view.Build(cluster.state, cluster.members, cluster.view, cluster.now)
	if len(receivers) == 0 {
		receivers = cluster.nodes
	}
	for _, node := range receivers {
		node.core.SetView(cluster.view)
	}
}

func (cluster *testCluster) setStatus(i int, status view.Status) {
	cluster.members[i].Status = status
}

func (cluster *testCluster) service() *view.Service { return cluster.view.ServiceByName("orders") }

func (cluster *testCluster) node(i int) *testNode { return cluster.nodes[i] }

// restartAgent replaces the agent of a node by its next incarnation.
func (cluster *testCluster) restartAgent(i int, recoverFlows bool) *testNode {
	node := cluster.nodes[i]
	node.cfg.Incarnation++
	node.cfg.Recover = recoverFlows
	node.core, node.buffered, node.down = New(node.cfg), map[uint64]testPacket{}, false
	cluster.members[i].Incarnation = node.cfg.Incarnation
	return node
}

func (cluster *testCluster) schedule(d time.Duration, run func()) {
	cluster.lastOrder++
	heap.Push(&cluster.events, timedEvent{at: cluster.now.Add(d), order: cluster.lastOrder, run: run})
}

// advance lets virtual time pass. Nodes tick every 5 ms, and less often if d
// exceeds 2.5 s.
func (cluster *testCluster) advance(d time.Duration) {
	step := min(max(d/500, 5*time.Millisecond), 20*time.Second)
	end := cluster.now.Add(d)
	for {
		next := cluster.nextTickAt
		if len(cluster.events) > 0 && cluster.events[0].at.Before(next) {
			next = cluster.events[0].at
		}
		if next.After(end) {
			cluster.now = end
			return
		}
		cluster.now = next
		if len(cluster.events) > 0 && !cluster.events[0].at.After(next) {
			heap.Pop(&cluster.events).(timedEvent).run()
			continue
		}
		cluster.nextTickAt = cluster.nextTickAt.Add(step)
		for _, node := range cluster.nodes {
			if !node.down {
				var out Actions
				node.core.Tick(cluster.now, &out)
				cluster.execute(node, &out, testPacket{})
			}
		}
	}
}

func (cluster *testCluster) nodeByAddress(address netip.AddrPort) *testNode {
	for i := range cluster.nodes {
		if cluster.members[i].Address == address {
			return cluster.nodes[i]
		}
	}
	return nil
}

// sendFrame sends a packet to a node, where it arrives after the link delay.
func (cluster *testCluster) sendFrame(node *testNode, pkt testPacket) {
	cluster.schedule(linkDelay, func() { cluster.receiveFrame(node, pkt) })
}

func (cluster *testCluster) receiveFrame(node *testNode, pkt testPacket) {
	if node == nil || node.down {
		return
	}
	var out Actions
	node.core.HandleFrame(cluster.now, &pkt.header, &pkt.meta, &out)
	cluster.execute(node, &out, pkt)
}

// execute executes the actions of a node as an adapter does.
func (cluster *testCluster) execute(node *testNode, out *Actions, pkt testPacket) {
	for _, action := range out.List {
		switch action.Kind {
		case Deliver:
			cluster.deliverToUpstream(node, action, pkt.meta)
		case Reply:
			cluster.replies[action.Flow] = append(cluster.replies[action.Flow], pkt.meta)
		case Forward:
			cluster.sendFrame(cluster.nodeByAddress(action.To), testPacket{header: action.Header, meta: pkt.meta})
		case Refuse:
			cluster.refused[action.Flow] = append(cluster.refused[action.Flow], action.Reason)
			delete(node.buffered, action.Ticket)
		case ResetCaller:
			cluster.resets[action.Flow]++
		case Drop:
			cluster.drops[action.Reason]++
		case BufferPacket:
			node.buffered[action.Ticket] = pkt
		case ReprocessPacket:
			buffered, ok := node.buffered[action.Ticket]
			require.True(cluster.t, ok, "no packet is buffered for the ticket")
			delete(node.buffered, action.Ticket)
			cluster.receiveFrame(node, buffered)
		case DropBuffered:
			cluster.drops[action.Reason]++
			delete(node.buffered, action.Ticket)
		case Send:
			cluster.sendMessage(action)
		}
	}
}

func (cluster *testCluster) sendMessage(action Action) {
	body, err := peer.Encode(action.Message)
	require.NoError(cluster.t, err)
	message, err := peer.Decode(body)
	require.NoError(cluster.t, err)
	if message.Hint != nil {
		cluster.hints[message.Hint.Key] = message.Hint.Holder
		return
	}
	for _, d := range cluster.messageDelays(message) {
		cluster.schedule(d, func() { cluster.receiveMessage(cluster.nodeByAddress(action.To), message) })
	}
}

func (cluster *testCluster) receiveMessage(node *testNode, message *peer.Message) {
	if node == nil || node.down {
		return
	}
	var out Actions
	node.core.HandlePeerMessage(cluster.now, message, &out)
	cluster.execute(node, &out, testPacket{})
}

// deliverToUpstream stands in for the upstream. It counts each payload, replies
// to a SYN with a SYN-ACK and to a payload with data.
func (cluster *testCluster) deliverToUpstream(node *testNode, action Action, meta packet.Meta) {
	if meta.PayloadBytes > 0 {
		cluster.payloadDeliveries[fmt.Sprintf("%s/%d", action.Flow, meta.Sequence)]++
		if cluster.payloadReceivers[action.Flow] == nil {
			cluster.payloadReceivers[action.Flow] = map[vm.ID]bool{}
		}
		cluster.payloadReceivers[action.Flow][node.vm] = true
	}
	if !cluster.upstreamsReply {
		return
	}
	isn := uint32(len(node.vm)) + uint32(node.vm[len(node.vm)-1])*100_000
	reply := packet.Meta{Source: action.Upstream, Destination: action.Alias, Protocol: meta.Protocol, Sequence: isn + 1, Ack: segmentEndSeq(&meta), Flags: packet.ACK}
	switch {
	case meta.Quoted || meta.Flags.Has(packet.RST):
		return
	case meta.Flags.Has(packet.SYN):
		reply.Flags, reply.Sequence = packet.SYN|packet.ACK, isn
	case meta.PayloadBytes > 0:
		reply.PayloadBytes = 10
	case !meta.Flags.Has(packet.FIN):
		return
	}
	cluster.schedule(0, func() { cluster.receiveFromUpstream(node, reply) })
}

func (cluster *testCluster) receiveFromUpstream(node *testNode, meta packet.Meta) {
	if node.down {
		return
	}
	var out Actions
	node.core.HandleUpstreamPacket(cluster.now, &meta, &out)
	cluster.execute(node, &out, testPacket{meta: meta})
}

// lossyDelays returns message delays with random loss, duplicates and delays.
func lossyDelays(seed uint64, loss, duplicate float64, maxDelay time.Duration) func(*peer.Message) []time.Duration {
	r := rand.New(rand.NewPCG(seed, seed))
	return func(*peer.Message) []time.Duration {
		var copies []time.Duration
		if r.Float64() >= loss {
			copies = append(copies, linkDelay+time.Duration(r.Int64N(int64(maxDelay)+1)))
		}
		if r.Float64() < duplicate {
			copies = append(copies, linkDelay+time.Duration(r.Int64N(int64(maxDelay)+1)))
		}
		return copies
	}
}
