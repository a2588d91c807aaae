package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Node is the membership state of one process.
type Node struct {
	seeds   []netip.AddrPort
	rng     *rand.Rand
	self    *record
	records map[uint64]*record
	zones   []*zoneState
	changes uint64
	// supersededBy is the incarnation that was last reported as Superseded.
	supersededBy vm.Incarnation
	// names holds each service name once.
	names map[service.Name]service.Name

	started   bool
	startedAt time.Time
	probes    prober
	gossip    gossiper
	repair    repairer
	joining   joiner
	stampAt   time.Time
	cross     []*record
	crossRate allowance
	suspects  []*record
	sweepAt   time.Time
	// sweepBucket is the bucket whose old records were last dropped.
	sweepBucket int
}

// New returns a node that knows only itself. The first Tick starts the join.
// The configuration must pass Validate.
func New(config Config) *Node {
	n := &Node{
		seeds:     slices.Clone(config.Seeds),
		rng:       config.Rand,
		records:   map[uint64]*record{},
		names:     map[service.Name]service.Name{},
		crossRate: allowance{rate: crossRate, burst: crossBurst},
	}
	n.gossip.allowance = allowance{rate: gossipRate, burst: gossipBurst}
	n.repair.allowance = allowance{rate: syncRate, burst: syncBurst}
	n.joining.welcomes = allowance{rate: welcomeRate, burst: welcomeBurst}
	n.self = &record{member: config.Self, hash: ranking.MemberHash(config.Self.VM)}
	n.self.member.Version = max(1, config.Self.Version)
	n.records[n.self.hash] = n.self
	n.link(time.Time{}, n.self)
	return n
}

// Changes counts the visible changes. Members returns the same list as long as
// the count is the same.
func (n *Node) Changes() uint64 { return n.changes }

// Size returns how many members are known, including failed ones.
func (n *Node) Size() int { return len(n.records) }

// Count returns how many members have the given status.
func (n *Node) Count(status view.Status) int {
	count := 0
	for _, r := range n.records {
		if r.status() == status {
			count++
		}
	}
	return count
}

// Self returns the own announcement.
func (n *Node) Self() view.Member { return n.self.member }

// Members returns all known members, also failed ones and those that have
// left, in the order of their VM ids. The status is what the observers agree
// on. The list is built on each call, which takes milliseconds at 6,600
// members: call it at most a few times per second when Changes has moved.
func (n *Node) Members() []view.Member {
	members := make([]view.Member, 0, len(n.records))
	for _, r := range n.records {
		m := r.member
		m.Status = r.status()
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// StatusOf returns the status of one member, or an empty one if it is unknown.
func (n *Node) StatusOf(id vm.ID) view.Status {
	r := n.records[ranking.MemberHash(id)]
	if r == nil {
		return ""
	}
	return r.status()
}

// Announce replaces the own announcement. The version is raised above that of
// the previous one. A status that only observers assign is ignored.
func (n *Node) Announce(now time.Time, m view.Member) Output {
	var out Output
	if !slices.Contains(statuses, m.Status) {
		m.Status = n.self.member.Status
	}
	m.VM = n.self.member.VM
	if m.Incarnation <= n.self.member.Incarnation {
		m.Incarnation = n.self.member.Incarnation
		m.Version = max(m.Version, n.self.member.Version+1)
	}
	n.change(now, n.self, func() { n.self.member = m })
	n.spread(n.self)
	n.gossipRound(now, &out)
	n.crossRound(now, &out)
	return out
}

// Tick advances timers. It must be called every TickInterval.
func (n *Node) Tick(now time.Time) Output {
	var out Output
	if !n.started {
		n.start(now)
	}
	n.tickJoin(now, &out)
	n.tickProbes(now, &out)
	n.tickSuspects(now, &out)
	n.tickGossip(now, &out)
	n.tickDelegate(now, &out)
	n.tickRepair(now, &out)
	n.tickLeases(now, &out)
	return out
}

// start sets the first deadlines. Random offsets keep processes that start
// together from sending together.
func (n *Node) start(now time.Time) {
	n.started, n.startedAt = true, now
	n.self.zone.stampAt = now
	n.probes.nextAt = now.Add(n.jitter(probeInterval))
	n.repair.nextAt = now.Add(n.jitter(youngInterval))
	n.repair.seedAt = now.Add(n.jitter(seedInterval))
	n.joining.nextAt = now.Add(n.jitter(joinSpread))
	n.stampAt = now.Add(n.jitter(stampInterval))
	n.spread(n.self)
}

// jitter returns a random duration below d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// Handle processes a received message body.
func (n *Node) Handle(now time.Time, from netip.AddrPort, body []byte) Output {
	var out Output
	m, err := decode(body)
	if err != nil {
		out.Events = append(out.Events, Event{Kind: Rejected, Reason: err.Error()})
		return out
	}
	if m.From == n.self.hash {
		return out
	}
	n.takeStamps(now, m.Stamps, &out)
	news := n.takeRecords(now, m, &out)
	if sender := n.records[m.From]; sender != nil {
		sender.heardAt = now
	}
	n.dispatch(now, from, m, news, &out)
	n.flushUrgent(now, &out)
	return out
}

func (n *Node) dispatch(now time.Time, from netip.AddrPort, m *message, news int, out *Output) {
	switch m.Kind {
	case kindPing:
		n.answerPing(now, from, m, out)
	case kindAck:
		n.takeAck(now, m, out)
	case kindNack:
		n.takeNack(now, m, out)
	case kindProbeRequest:
		n.relayProbe(now, from, m, out)
	case kindDigest:
		n.answerDigest(now, from, m, out)
	case kindBuckets:
		n.answerBuckets(from, m, out)
	case kindHave:
		n.answerHave(now, from, m, out)
	case kindRecords:
		n.answerRecords(now, from, m, news, out)
	case kindJoin:
		n.answerJoin(now, from, m, out)
	case kindWelcome:
		n.takeWelcome(now, m)
	case kindGossip, kindEnd:
	}
}

// emit encodes a message for one address.
func (n *Node) emit(out *Output, to netip.AddrPort, m *message) {
	m.From = n.self.hash
	out.Sends = append(out.Sends, Send{To: to, Body: encode(m)})
}

func (n *Node) note(out *Output, kind EventKind, r *record, reason string) {
	out.Events = append(out.Events, Event{
		Kind: kind, VM: r.member.VM, Incarnation: r.member.Incarnation, Zone: r.member.Zone, Reason: reason,
	})
}
