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

// exchange joins a few cores on virtual time. Messages travel encoded; fault
// decides for each one how often and when it arrives.
type exchange struct {
	t       *testing.T
	now     time.Time
	state   *intent.State
	members []view.Member
	view    *view.View
	nodes   []*testNode
	pending schedule
	order   int
	tickAt  time.Time
	// fault returns the delays after which copies of a message arrive; none
	// stands for a lost message.
	fault func(m *peer.Message) []time.Duration
	// answers is false while upstreams stay silent.
	answers bool

	// executed counts the deliveries of each payload, ranAt the upstreams
	// that got a payload of a flow.
	executed map[string]int
	ranAt    map[flow.Key]map[vm.ID]bool
	replies  map[flow.Key][]packet.Meta
	refused  map[flow.Key][]Reason
	resets   map[flow.Key]int
	drops    map[Reason]int
	hints    map[flow.Key]vm.ID
}

type testNode struct {
	core *Core
	id   vm.ID
	held map[uint64]heldPacket
	down bool
	cfg  Config
}

type heldPacket struct {
	h frame.Header
	m packet.Meta
}

type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
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
	// fresh leaves out the time in which views and lives settle.
	fresh bool
}

func shortContract() service.Contract {
	return service.Contract{Idempotent: true, Shape: service.ShortRequests, QueueDeadline: 2 * time.Second, Priority: service.PreferBalance}
}

func newExchange(t *testing.T, s testSetup) *exchange {
	if s.connections == 0 {
		s.connections = 2000
	}
	if s.protocol == "" {
		s.protocol = service.TCP
	}
	x := &exchange{
		t: t, now: time.Unix(1_000_000, 0), answers: true,
		executed: map[string]int{}, ranAt: map[flow.Key]map[vm.ID]bool{}, replies: map[flow.Key][]packet.Meta{}, refused: map[flow.Key][]Reason{},
		resets: map[flow.Key]int{}, drops: map[Reason]int{}, hints: map[flow.Key]vm.ID{},
	}
	x.fault = func(*peer.Message) []time.Duration { return []time.Duration{linkDelay} }
	x.state = &intent.State{Revision: 1, Services: []intent.Service{{
		ID: 1, Name: "orders", Traffic: true, Contract: s.contract,
		Endpoint: service.Endpoint{Address: testVirtual, Protocol: s.protocol},
	}}}
	for i := range s.nodes {
		id := vm.ID(fmt.Sprintf("up%d", i+1))
		z := zone.ID{Region: "eu", Name: fmt.Sprintf("z%d", i%3)}
		x.state.VMs = append(x.state.VMs, intent.VM{Status: intent.Active, Machine: intent.Machine{
			ID: id, Zone: z, Role: vm.RoleUpstream, Service: "orders", Slots: s.slots, Connections: s.connections,
		}})
		x.members = append(x.members, view.Member{
			VM: id, Role: vm.RoleUpstream, Zone: z, Service: "orders", Status: view.Ready, Incarnation: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
		})
		x.nodes = append(x.nodes, &testNode{id: id, held: map[uint64]heldPacket{}, cfg: Config{
			VM: id, Service: "orders", Incarnation: 1, Upstream: netip.MustParseAddrPort("127.0.0.1:8080"),
			Aliases: netip.MustParsePrefix("10.200.0.0/24"), Hasher: testHasher, Limits: s.limits,
		}})
	}
	balancer := intent.VM{Status: intent.Active, Machine: intent.Machine{ID: "lb1", Role: vm.RoleBalancer, Zone: zone.ID{Region: "eu", Name: "z1"}}}
	x.state.VMs = append(x.state.VMs, balancer)
	x.members = append(x.members, view.Member{
		VM: "lb1", Role: vm.RoleBalancer, Zone: balancer.Zone, Status: view.Ready,
		Address: netip.MustParseAddrPort("10.0.1.1:7000"),
	})
	for _, n := range x.nodes {
		n.core = New(n.cfg)
	}
	x.spread()
	x.tickAt = x.now
	if !s.fresh {
		x.run(2 * GracePeriod)
	}
	return x
}

// spread builds the next view and gives it to the nodes (all if none is named).
func (x *exchange) spread(to ...*testNode) {
	x.state = x.state.Clone()
	x.state.Revision++
	x.view = view.Build(x.state, x.members, x.view, x.now)
	if len(to) == 0 {
		to = x.nodes
	}
	for _, n := range to {
		n.core.SetView(x.view)
	}
}

func (x *exchange) status(i int, s view.Status) {
	x.members[i].Status = s
}

func (x *exchange) svc() *view.Service { return x.view.ServiceByName("orders") }

func (x *exchange) node(i int) *testNode { return x.nodes[i] }

// restart replaces the agent of a node by its next life.
func (x *exchange) restart(i int, recoverFlows bool) *testNode {
	n := x.nodes[i]
	n.cfg.Incarnation++
	n.cfg.Recover = recoverFlows
	n.core, n.held, n.down = New(n.cfg), map[uint64]heldPacket{}, false
	x.members[i].Incarnation = n.cfg.Incarnation
	return n
}

func (x *exchange) after(d time.Duration, run func()) {
	x.order++
	heap.Push(&x.pending, scheduled{at: x.now.Add(d), order: x.order, run: run})
}

// run lets virtual time pass. Nodes tick each 5 ms, and less often in runs of
// more than 2.5 s.
func (x *exchange) run(d time.Duration) {
	step := min(max(d/500, 5*time.Millisecond), 20*time.Second)
	end := x.now.Add(d)
	for {
		next := x.tickAt
		if len(x.pending) > 0 && x.pending[0].at.Before(next) {
			next = x.pending[0].at
		}
		if next.After(end) {
			x.now = end
			return
		}
		x.now = next
		if len(x.pending) > 0 && !x.pending[0].at.After(next) {
			heap.Pop(&x.pending).(scheduled).run()
			continue
		}
		x.tickAt = x.tickAt.Add(step)
		for _, n := range x.nodes {
			if !n.down {
				var out Actions
				n.core.Tick(x.now, &out)
				x.perform(n, &out, heldPacket{})
			}
		}
	}
}

func (x *exchange) byAddress(a netip.AddrPort) *testNode {
	for i := range x.nodes {
		if x.members[i].Address == a {
			return x.nodes[i]
		}
	}
	return nil
}

// frame hands a packet to a node after the link delay.
func (x *exchange) frame(n *testNode, p heldPacket) {
	x.after(linkDelay, func() { x.arrive(n, p) })
}

func (x *exchange) arrive(n *testNode, p heldPacket) {
	if n == nil || n.down {
		return
	}
	var out Actions
	n.core.HandleFrame(x.now, &p.h, &p.m, &out)
	x.perform(n, &out, p)
}

// perform executes the actions of a node as an adapter does.
func (x *exchange) perform(n *testNode, out *Actions, p heldPacket) {
	for _, a := range out.List {
		switch a.Kind {
		case Deliver:
			x.deliver(n, a, p.m)
		case Reply:
			x.replies[a.Flow] = append(x.replies[a.Flow], p.m)
		case Forward:
			x.frame(x.byAddress(a.To), heldPacket{h: a.Header, m: p.m})
		case Refuse:
			x.refused[a.Flow] = append(x.refused[a.Flow], a.Reason)
			delete(n.held, a.Ticket)
		case ResetCaller:
			x.resets[a.Flow]++
		case Drop:
			x.drops[a.Reason]++
		case Hold:
			n.held[a.Ticket] = p
		case Release:
			held, ok := n.held[a.Ticket]
			require.True(x.t, ok, "released ticket is not held")
			delete(n.held, a.Ticket)
			x.arrive(n, held)
		case Discard:
			x.drops[a.Reason]++
			delete(n.held, a.Ticket)
		case Send:
			x.send(a)
		}
	}
}

func (x *exchange) send(a Action) {
	body, err := peer.Encode(a.Message)
	require.NoError(x.t, err)
	m, err := peer.Decode(body)
	require.NoError(x.t, err)
	if m.Hint != nil {
		x.hints[m.Hint.Key] = m.Hint.Holder
		return
	}
	for _, d := range x.fault(m) {
		x.after(d, func() { x.message(x.byAddress(a.To), m) })
	}
}

func (x *exchange) message(n *testNode, m *peer.Message) {
	if n == nil || n.down {
		return
	}
	var out Actions
	n.core.HandlePeer(x.now, m, &out)
	x.perform(n, &out, heldPacket{})
}

// deliver is the upstream: it answers a SYN, counts each payload and echoes.
func (x *exchange) deliver(n *testNode, a Action, m packet.Meta) {
	if m.PayloadBytes > 0 {
		x.executed[fmt.Sprintf("%s/%d", a.Flow, m.Sequence)]++
		if x.ranAt[a.Flow] == nil {
			x.ranAt[a.Flow] = map[vm.ID]bool{}
		}
		x.ranAt[a.Flow][n.id] = true
	}
	if !x.answers {
		return
	}
	isn := uint32(len(n.id)) + uint32(n.id[len(n.id)-1])*100_000
	reply := packet.Meta{Source: a.Upstream, Destination: a.Alias, Protocol: m.Protocol, Sequence: isn + 1, Ack: segmentEnd(&m), Flags: packet.ACK}
	switch {
	case m.Quoted || m.Flags.Has(packet.RST):
		return
	case m.Flags.Has(packet.SYN):
		reply.Flags, reply.Sequence = packet.SYN|packet.ACK, isn
	case m.PayloadBytes > 0:
		reply.PayloadBytes = 10
	case !m.Flags.Has(packet.FIN):
		return
	}
	x.after(0, func() { x.upstream(n, reply) })
}

func (x *exchange) upstream(n *testNode, m packet.Meta) {
	if n.down {
		return
	}
	var out Actions
	n.core.HandleUpstream(x.now, &m, &out)
	x.perform(n, &out, heldPacket{m: m})
}

// lossy returns a fault that loses, repeats and delays messages.
func lossy(seed uint64, loss, repeat float64, late time.Duration) func(*peer.Message) []time.Duration {
	r := rand.New(rand.NewPCG(seed, seed))
	return func(*peer.Message) []time.Duration {
		var copies []time.Duration
		if r.Float64() >= loss {
			copies = append(copies, linkDelay+time.Duration(r.Int64N(int64(late)+1)))
		}
		if r.Float64() < repeat {
			copies = append(copies, linkDelay+time.Duration(r.Int64N(int64(late)+1)))
		}
		return copies
	}
}
