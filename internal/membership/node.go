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

// Node holds the membership state of one process. It is not safe for concurrent
// use.
type Node struct {
	seeds       []netip.AddrPort
	rng         *rand.Rand
	self        *memberRecord
	records     map[uint64]*memberRecord
	zones       []*zoneState
	changeCount uint64
	// supersededBy is the incarnation in the last OwnVMSuperseded event.
	supersededBy vm.Incarnation
	// serviceNames holds one shared copy of each service name.
	serviceNames map[service.Name]service.Name

	started           bool
	startedAt         time.Time
	probing           probeState
	gossip            gossipQueue
	antiEntropy       antiEntropyState
	join              joinState
	nextHeartbeatAt   time.Time
	crossZoneQueue    []*memberRecord
	crossZoneLimiter  tokenBucket
	suspectedRecords  []*memberRecord
	nextExpiryCheckAt time.Time
	// lastEvictionBucket is the bucket from which expired records were last evicted.
	lastEvictionBucket int
}

// New returns a node whose only member is the local process. The first Tick starts
// the join. The configuration must pass Validate.
func New(config Config) *Node {
	n := &Node{
		seeds:            slices.Clone(config.Seeds),
		rng:              config.Rand,
		records:          map[uint64]*memberRecord{},
		serviceNames:     map[service.Name]service.Name{},
		crossZoneLimiter: tokenBucket{rate: crossZoneBytesPerSecond, burst: crossZoneBurstBytes},
	}
	n.gossip.limiter = tokenBucket{rate: gossipBytesPerSecond, burst: gossipBurstBytes}
	n.antiEntropy.limiter = tokenBucket{rate: exchangeBytesPerSecond, burst: exchangeBurstBytes}
	n.join.responseLimiter = tokenBucket{rate: joinResponsesPerSecond, burst: joinResponseBurst}
	n.self = &memberRecord{member: config.Self, hash: ranking.MemberHash(config.Self.VM)}
	n.self.member.Version = max(1, config.Self.Version)
	n.records[n.self.hash] = n.self
	n.addToZone(time.Time{}, n.self)
	return n
}

// ChangeCount returns the number of changes to the member list. Members returns the
// same list as long as the number is the same.
func (n *Node) ChangeCount() uint64 { return n.changeCount }

// MemberCount returns the number of members, including failed and departed ones.
func (n *Node) MemberCount() int { return len(n.records) }

// CountWithStatus returns the number of members with the given status.
func (n *Node) CountWithStatus(status view.Status) int {
	count := 0
	for _, r := range n.records {
		if r.effectiveStatus() == status {
			count++
		}
	}
	return count
}

// Self returns the announcement of the local process.
func (n *Node) Self() view.Member { return n.self.member }

// Members returns all members, sorted by VM ID. Failed and departed members are
// included. The status takes the reports of observers into account. The list is
// built on each call, which takes milliseconds at 6,600 members. Call it at most a
// few times per second, and only after ChangeCount has increased.
func (n *Node) Members() []view.Member {
	members := make([]view.Member, 0, len(n.records))
	for _, r := range n.records {
		m := r.member
		m.Status = r.effectiveStatus()
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// StatusOf returns the status of a member, or an empty status if there is no record
// of it.
func (n *Node) StatusOf(id vm.ID) view.Status {
	r := n.records[ranking.MemberHash(id)]
	if r == nil {
		return ""
	}
	return r.effectiveStatus()
}

// Announce replaces the announcement of the local process. The version is raised
// above that of the previous announcement. A status that only observers report is
// ignored.
func (n *Node) Announce(now time.Time, m view.Member) Output {
	var out Output
	if !slices.Contains(announcedStatuses, m.Status) {
		m.Status = n.self.member.Status
	}
	m.VM = n.self.member.VM
	if m.Incarnation <= n.self.member.Incarnation {
		m.Incarnation = n.self.member.Incarnation
		m.Version = max(m.Version, n.self.member.Version+1)
	}
	n.updateRecord(now, n.self, func() { n.self.member = m })
	n.enqueueChange(n.self)
	n.sendGossip(now, &out)
	n.sendCrossZoneChanges(now, &out)
	return out
}

// Tick runs all work that is due. It must be called every TickInterval.
func (n *Node) Tick(now time.Time) Output {
	var out Output
	if !n.started {
		n.scheduleFirstTimers(now)
	}
	n.sendJoinIfDue(now, &out)
	n.runProbes(now, &out)
	n.failUnrefutedSuspects(now, &out)
	n.sendGossipIfDue(now, &out)
	n.runDelegate(now, &out)
	n.startExchangeIfDue(now, &out)
	n.expireLeases(now, &out)
	return out
}

// scheduleFirstTimers sets the first deadlines. Random offsets keep processes that
// start at the same time from sending at the same time.
func (n *Node) scheduleFirstTimers(now time.Time) {
	n.started, n.startedAt = true, now
	n.self.zone.leaseRenewedAt = now
	n.probing.nextProbeAt = now.Add(n.jitter(probeInterval))
	n.antiEntropy.nextExchangeAt = now.Add(n.jitter(startupExchangeInterval))
	n.antiEntropy.nextSeedAt = now.Add(n.jitter(seedExchangeInterval))
	n.join.nextAttemptAt = now.Add(n.jitter(maxInitialJoinDelay))
	n.nextHeartbeatAt = now.Add(n.jitter(zoneHeartbeatInterval))
	n.enqueueChange(n.self)
}

// jitter returns a random duration less than d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// Handle processes a received message body.
func (n *Node) Handle(now time.Time, from netip.AddrPort, body []byte) Output {
	var out Output
	m, err := decodeMessage(body)
	if err != nil {
		out.Events = append(out.Events, Event{Kind: MessageRejected, Reason: err.Error()})
		return out
	}
	if m.Sender == n.self.hash {
		return out
	}
	n.renewZoneLeases(now, m.ZoneHeartbeats, &out)
	updated := n.applyRecords(now, m, &out)
	if sender := n.records[m.Sender]; sender != nil {
		sender.lastReceivedAt = now
	}
	n.handleMessage(now, from, m, updated, &out)
	n.sendUrgentChanges(now, &out)
	return out
}

func (n *Node) handleMessage(now time.Time, from netip.AddrPort, m *message, updated int, out *Output) {
	switch m.Kind {
	case kindPing:
		n.handlePing(now, from, m, out)
	case kindAck:
		n.handleAck(now, m, out)
	case kindNack:
		n.handleNack(now, m, out)
	case kindPingRequest:
		n.handlePingRequest(now, from, m, out)
	case kindZoneDigests:
		n.handleZoneDigests(now, from, m, out)
	case kindBucketDigests:
		n.handleBucketDigests(from, m, out)
	case kindRecordVersions:
		n.handleRecordVersions(now, from, m, out)
	case kindRecords:
		n.handleRecords(now, from, m, updated, out)
	case kindJoin:
		n.handleJoin(now, from, m, out)
	case kindJoinResponse:
		n.handleJoinResponse(now, m)
	case kindGossip, firstUnassignedKind:
	}
}

// appendMessage encodes a message and appends it to the output.
func (n *Node) appendMessage(out *Output, to netip.AddrPort, m *message) {
	m.Sender = n.self.hash
	out.Messages = append(out.Messages, OutgoingMessage{To: to, Body: encodeMessage(m)})
}

func (n *Node) appendEvent(out *Output, kind EventKind, r *memberRecord, reason string) {
	out.Events = append(out.Events, Event{
		Kind: kind, VM: r.member.VM, Incarnation: r.member.Incarnation, Zone: r.member.Zone, Reason: reason,
	})
}
