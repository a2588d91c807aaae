package steering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// openingResponseTimeout limits how long an agent may take to respond to an opening
	// before another upstream is tried. It is longer than upstreamAnswerTimeout plus a
	// message exchange between zones. It is shorter than the caller's first
	// retransmission interval (200 ms).
	openingResponseTimeout = 150 * time.Millisecond
	// openingLifetime is the time after which a caller gives up an opening. The caller
	// sends the last copy after 600 ms and waits another 800 ms.
	openingLifetime = 1400 * time.Millisecond
	// candidateTimeout limits how long a candidate may take to return a packet of a
	// flow that it does not hold.
	candidateTimeout = 150 * time.Millisecond
	// confirmationDelay is the time between two lookups of a flow that every agent
	// has denied. It is three times the time that a directory change takes to reach a
	// balancer in another zone. The second lookup thereby includes an upstream that was
	// missing from the first one.
	confirmationDelay = 30 * time.Millisecond
	// maxBufferedPackets bounds the packets of one flow that are buffered during a
	// lookup: one window of the caller.
	maxBufferedPackets = 16
)

// minBulkPacketBytes is the size from which a packet of an upload is bulk data. Smaller
// ones acknowledge or end the flow.
const minBulkPacketBytes = 128

// BalancerConfig holds the settings of a balancer.
type BalancerConfig struct {
	Zone zone.ID
	// MaxFlows bounds the flow table.
	MaxFlows int
	// LinkBitsPerSecond is the rate of the VM's link, or zero if it is unknown.
	LinkBitsPerSecond float64
	// AdmitsByClass is set if classes decide which requests get scarce room.
	AdmitsByClass bool
	Random        *rand.Rand
}

// Balancer steers packets of callers for one process on an entry VM.
type Balancer struct {
	cfg     BalancerConfig
	desired *intent.DesiredState
	routes  map[netip.AddrPort]*intent.Route
	// warmUpRates has the services that state a rate for cold upstreams.
	warmUpRates map[service.Name]float64
	// removedRoutes has the virtual addresses that were only in previous desired
	// states.
	removedRoutes map[netip.AddrPort]bool
	// upstreams is keyed by the address of the agent, serviceMembers by service.
	upstreams      map[netip.Addr]*upstreamState
	serviceMembers map[service.Name][]*upstreamState
	flows          map[flow.Key]*flowEntry
	// lowestLevels has the lowest level of each service whose routes differ in priority.
	lowestLevels map[service.Name]admission.Level
	// timers has the timeouts of flows in the order in which they were set. A timer
	// is obsolete if the deadline of its flow has changed.
	timers    []flowTimer
	nextSweep time.Time
	egress    egressScheduler
	uploads   uploadAdmission
	// lookupQueue lists the flows whose lookup has not started. lookupBatches has the
	// lookup requests that await responses or have ended a short while ago, keyed by
	// lookup ID. lookupLimiter bounds the bytes that lookups use on the link.
	// nextBatchAt is the earliest start of the next batch.
	lookupQueue   []*flowEntry
	lookupBatches map[uint32]*lookupBatch
	lastLookupID  uint32
	nextBatchAt   time.Time
	lookupLimiter *rate.Limiter
	// terms are the latest ones received. They are valid if termsKnown is set.
	terms      Terms
	termsKnown bool
	// answerComparisons has the last comparison of the upstreams of each service.
	answerComparisons map[service.Name]*answerComparison
	// directoryComplete is set once the directory has listed all upstreams.
	directoryComplete bool
}

// NewBalancer returns a balancer without routes and upstreams.
func NewBalancer(cfg BalancerConfig) *Balancer {
	return &Balancer{
		cfg: cfg, egress: newEgressScheduler(cfg.LinkBitsPerSecond), uploads: newUploadAdmission(), lookupLimiter: rate.NewLimiter(0, 0), lookupBatches: map[uint32]*lookupBatch{}, routes: map[netip.AddrPort]*intent.Route{}, removedRoutes: map[netip.AddrPort]bool{},
		upstreams: map[netip.Addr]*upstreamState{}, serviceMembers: map[service.Name][]*upstreamState{}, flows: map[flow.Key]*flowEntry{},
		answerComparisons: map[service.Name]*answerComparison{},
	}
}

// Version returns the version of the desired state that this balancer applies, or 0.
func (b *Balancer) Version() uint64 {
	if b.desired == nil {
		return 0
	}
	return b.desired.Version
}

// OpeningAge returns the time since the opening of a flow arrived here. pending is
// false if no opening was sent to an agent, or if the caller has sent a later packet.
func (b *Balancer) OpeningAge(now time.Time, key flow.Key) (age time.Duration, pending bool) {
	entry := b.flows[key]
	if entry == nil || entry.state != stateOpeningUnconfirmed {
		return 0, false
	}
	return now.Sub(entry.createdAt), true
}

// HeldPackets returns the number of packets and messages that wait for the link.
func (b *Balancer) HeldPackets() int { return b.egress.held }

// Flows returns the number of flows in the table.
func (b *Balancer) Flows() int { return len(b.flows) }

// SetDesired applies a desired state unless its version is not newer than the
// current one. It reports whether the state was applied.
func (b *Balancer) SetDesired(desired *intent.DesiredState) bool {
	if b.desired != nil && desired.Version <= b.desired.Version {
		return false
	}
	routes := make(map[netip.AddrPort]*intent.Route, len(desired.Routes))
	for i := range desired.Routes {
		routes[desired.Routes[i].Virtual] = &desired.Routes[i]
		delete(b.removedRoutes, desired.Routes[i].Virtual)
	}
	for virtual := range b.routes {
		if routes[virtual] == nil {
			b.removedRoutes[virtual] = true
		}
	}
	b.desired, b.routes, b.warmUpRates = desired, routes, statedWarmUpRates(desired)
	if b.cfg.AdmitsByClass {
		b.lowestLevels = lowestLevels(desired.Routes)
	}
	return true
}

// HandlePacket handles a packet of a caller.
func (b *Balancer) HandlePacket(now time.Time, packet *Packet, data []byte, actions *[]Action) {
	first := len(*actions)
	b.steerPacket(now, packet, data, actions)
	b.scheduleEgress(now, first, actions)
}

// scheduleEgress holds the actions from index first on that the link has no room for,
// and counts the packets of uploads.
func (b *Balancer) scheduleEgress(now time.Time, first int, actions *[]Action) {
	b.egress.schedule(now, first, actions, func(action *Action) egressClass {
		route, entry := b.routes[action.Flow.Virtual], b.flows[action.Flow]
		if action.Kind != Forward || len(action.Data) < minBulkPacketBytes || entry == nil || route == nil || route.Kind != intent.Upload {
			return egressClass{rank: b.egressRank(action, route)}
		}
		b.uploads.countPacket(now, action.Flow, linkBytes(action))
		return egressClass{bulk: true, openedAt: entry.createdAt}
	})
}

// steerPacket decides where a packet of a caller goes.
func (b *Balancer) steerPacket(now time.Time, packet *Packet, data []byte, actions *[]Action) {
	route := b.routes[packet.Flow.Virtual]
	if packet.IsOpening() {
		b.handleOpening(now, route, packet, data, actions)
		return
	}
	if route == nil && b.removedRoutes[packet.Flow.Virtual] {
		delete(b.flows, packet.Flow)
		b.sendReset(packet, RouteRemoved, actions)
		return
	}
	entry := b.flows[packet.Flow]
	if entry == nil && packet.Flags.Has(RST) {
		// The upstream detects by itself that its caller has gone.
		*actions = append(*actions, Action{Kind: Drop, Reason: NotHeld, Flow: packet.Flow})
		return
	}
	if entry == nil {
		b.startLookup(now, b.addFlow(now, packet.Flow), packet, data, actions)
		return
	}
	entry.lastPacketAt = now
	if packet.Flags.Has(RST) {
		entry.resetByCaller = true
	}
	if packet.Flags&(FIN|RST) != 0 {
		entry.finished = true
		b.uploads.end(entry.key)
	}
	switch entry.state {
	case stateOpeningUnconfirmed:
		b.confirmUpstream(entry, packet)
		b.forward(entry, KnownFlow, data, actions)
	case stateHolderKnown:
		b.forward(entry, KnownFlow, data, actions)
	case stateLookupPending, stateCandidatesTried:
		b.bufferPacket(entry, data, actions)
	case stateHolderNotFound:
		entry.callerAck = packet.Ack
		if entry.deniedByAll {
			b.bufferPacket(entry, data, actions)
			return
		}
		if now.Sub(entry.notFoundAt) >= entry.lookupRetryDelay() {
			b.startLookup(now, entry, packet, data, actions)
			return
		}
		*actions = append(*actions, Action{Kind: Drop, Reason: NotHeld, Flow: entry.key})
	case stateOpeningQueued:
		// The caller has received the SYN-ACK of an upstream that got an earlier copy of
		// the opening through another balancer.
		b.startLookup(now, entry, packet, data, actions)
	}
}

// confirmUpstream sets the holder of a flow whose opening was accepted. If several
// upstreams accepted copies of the opening, the caller's acknowledgement number
// identifies the SYN-ACK that it uses.
func (b *Balancer) confirmUpstream(entry *flowEntry, packet *Packet) {
	for _, acceptance := range entry.acceptances {
		if packet.Ack-acceptance.sequence <= ackWindow {
			entry.upstream = acceptance.upstream
		}
	}
	entry.state, entry.openingPacket, entry.acceptances, entry.attemptedAgents, entry.deadline = stateHolderKnown, nil, nil, nil, time.Time{}
}

// sendReset sends a reset to the caller, unless the packet is a reset itself.
func (b *Balancer) sendReset(packet *Packet, reason Reason, actions *[]Action) {
	if packet.Flags.Has(RST) {
		*actions = append(*actions, Action{Kind: Drop, Reason: reason, Flow: packet.Flow})
		return
	}
	*actions = append(*actions, Action{Kind: Reset, Reason: reason, Flow: packet.Flow, Sequence: packet.Ack})
}

func (b *Balancer) forward(entry *flowEntry, reason Reason, data []byte, actions *[]Action) {
	*actions = append(*actions, Action{
		Kind: Forward, Reason: reason, Flow: entry.key, To: entry.upstream.Address.Addr(), Data: data,
		Header: b.newForwardingHeader(entry, entry.upstream),
	})
}

// newForwardingHeader returns the header of a packet for an upstream.
func (b *Balancer) newForwardingHeader(entry *flowEntry, upstream *upstreamState) ForwardingHeader {
	header := ForwardingHeader{Service: upstream.serviceTag}
	if route := b.routes[entry.key.Virtual]; route != nil {
		header.Class, header.ClassKnown = route.Class(), true
	}
	return header
}

// bufferPacket stores a packet until the holder of its flow is found.
func (b *Balancer) bufferPacket(entry *flowEntry, data []byte, actions *[]Action) {
	if len(entry.bufferedPackets) >= maxBufferedPackets {
		*actions = append(*actions, Action{Kind: Drop, Reason: BufferFull, Flow: entry.key})
		return
	}
	entry.bufferedPackets = append(entry.bufferedPackets, slices.Clone(data))
}

// HandleMessage handles a message of the agent at address from.
func (b *Balancer) HandleMessage(now time.Time, from netip.Addr, message *Message, actions *[]Action) {
	first := len(*actions)
	b.dispatchMessage(now, from, message, actions)
	b.scheduleEgress(now, first, actions)
}

func (b *Balancer) dispatchMessage(now time.Time, from netip.Addr, message *Message, actions *[]Action) {
	upstream := b.upstreams[from]
	if upstream == nil {
		return
	}
	upstream.updateReport(now, message)
	if message.Kind == LookupResponse {
		b.handleLookupResponse(now, upstream, message, actions)
		return
	}
	entry := b.flows[message.Flow]
	if entry == nil {
		return
	}
	switch message.Kind {
	case OpeningAccepted:
		b.handleAccepted(entry, upstream, message)
	case OpeningRejected:
		b.handleRejected(now, entry, upstream, message, actions)
	case FlowNotFound:
		b.handleFlowNotFound(now, entry, upstream, message, actions)
	case FlowConfirmed:
		b.handleHolderFound(now, entry, upstream, actions)
	case LookupRequest, LookupResponse, CapacityReport:
	}
}
