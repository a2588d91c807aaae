package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// MaxBody is the maximum size of a message body in bytes. With the largest frame
// header (98 bytes), the message fits into a datagram of 1,200 bytes.
const MaxBody = 1100

// recordBudgetBytes is the space for records in one message. The other fields
// (kind, sender, sequence number and target) take less than 60 bytes.
const recordBudgetBytes = MaxBody - 60

const (
	// maxZones keeps a ping below MaxBody. A ping carries a heartbeat counter of
	// at most 15 bytes for each zone.
	maxZones = 24
	// maxRecords bounds the memory for records. It is five times the number of
	// members that the design provides for.
	maxRecords = 1 << 15
)

// TickInterval is the interval between calls of Tick.
const TickInterval = 100 * time.Millisecond

const (
	probeInterval = time.Second
	// directProbeTimeout must exceed a round trip between regions. Ping requests
	// to relays follow it.
	directProbeTimeout = 300 * time.Millisecond
	// relayRetryDelay is the time after which a relay repeats its ping. After
	// relayTimeout it sends a nack. With a single ping, one lost datagram would
	// make the relay a false second observer.
	relayRetryDelay = 200 * time.Millisecond
	relayTimeout    = 400 * time.Millisecond
	// probeTimeout must exceed directProbeTimeout, relayTimeout and a round trip
	// to the relay together.
	probeTimeout   = 900 * time.Millisecond
	relaysPerProbe = 2

	// suspicionTimeout is the time that a suspected member has to refute the
	// suspicion.
	suspicionTimeout = 3 * time.Second
	// LeaseDuration is the time after which a zone without a new heartbeat counts as
	// failed. It also applies to a member that no second observer can probe. Such a
	// member counts as failed if no message from it was received for this time.
	LeaseDuration = 30 * time.Second
	// tombstoneRetention is how long records of failed and departed members are
	// kept. It must exceed the longest partition. Otherwise the other side of the
	// partition reintroduces them.
	tombstoneRetention = time.Hour

	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// Each node transmits a change retransmitFactor times log10 of the zone size,
	// at least minTransmits and at most maxTransmits times. With a factor of 3 and
	// no minimum, a member of a fleet of 20 missed a change and received it only
	// by anti-entropy, after 9.9 s.
	retransmitFactor = 4
	minTransmits     = 8
	maxTransmits     = 17
	// maxGossipAge is the age at which a queued change is dropped from the gossip
	// queue. Without it, the queue takes minutes to drain after a burst of 1,100
	// joins.
	maxGossipAge         = 15 * time.Second
	piggybackBudgetBytes = 400
	// gossipBytesPerSecond is half of the budget for control traffic.
	// gossipBurstBytes must cover the failure of a rack of 20 members: with 8,000
	// bytes the failure reached all members after 11.2 s, with 30,000 after 6.2 s.
	gossipBytesPerSecond = 1500.0
	gossipBurstBytes     = 30000.0
)

const (
	// crossZoneBytesPerSecond and crossZoneBurstBytes limit the changes that a
	// delegate sends to other zones. A single change to five zones takes about
	// 700 bytes.
	crossZoneBytesPerSecond = 6000.0
	crossZoneBurstBytes     = 24000.0
	zoneHeartbeatInterval   = 5 * time.Second
	heartbeatsToRestoreZone = 2 // new heartbeats after which a lost zone is restored
	delegatesPerZone        = 2
)

const (
	exchangeInterval = 10 * time.Second
	// A process runs anti-entropy every startupExchangeInterval until it has run for
	// startupPeriod.
	startupExchangeInterval = time.Second
	startupPeriod           = 30 * time.Second
	// followUpExchangeDelay is the time to the next exchange after one that delivered
	// updates.
	followUpExchangeDelay  = 200 * time.Millisecond
	exchangeBytesPerSecond = 16000.0
	exchangeBurstBytes     = 32000.0
	maxMessagesPerResponse = 8  // bounds the response to one request
	maxZonesPerExchange    = 2  // zones compared in one exchange
	maxRecordVersions      = 28 // per message; each takes at most 34 bytes
	requestedMemberBytes   = 9  // an encoded member hash
	zoneHeartbeatBytes     = 15 // an encoded zoneHeartbeat at most
	packetOverheadBytes    = 81 // frame header and tag, UDP and IPv4
	// failedContactsPerInterval is the expected number of digests that a zone sends
	// to failed members per exchange interval. When each member sent one digest in
	// eight to a failed member, a process that restarted while the only seed was
	// down was found after four minutes.
	failedContactsPerInterval = 4
	bucketCount               = 64
)

const (
	seedExchangeInterval   = time.Minute
	maxInitialJoinDelay    = time.Second
	maxJoinBackoff         = 30 * time.Second
	maxJoinResponseRecords = 16
	joinResponsesPerSecond = 50.0 // bounds the load on a seed when a zone starts
	joinResponseBurst      = 50.0
)

// Config configures a Node.
type Config struct {
	// Self is the first announcement of the local process. Its Incarnation must
	// exceed that of any previous process on the same VM.
	Self view.Member
	// Seeds are the gossip addresses of the control VMs. Addresses of members from
	// before a restart may follow. With them a process can also join while no
	// control VM is reachable.
	Seeds []netip.AddrPort
	// Rand is the only source of randomness.
	Rand *rand.Rand
}

// ConfigError reports an invalid field of Config. Other members would reject
// announcements with this value.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return "membership: " + e.Field + ": " + e.Reason }

// Validate checks the preconditions of New.
func (c Config) Validate() error {
	switch {
	case c.Self.VM == "" || len(c.Self.VM) > maxNameBytes:
		return &ConfigError{Field: "vm", Reason: "must have 1 to 64 bytes"}
	case len(c.Self.Service) > maxNameBytes:
		return &ConfigError{Field: "service", Reason: "must have at most 64 bytes"}
	case c.Self.Zone.IsZero() || len(c.Self.Zone.String()) > maxZoneBytes:
		return &ConfigError{Field: "zone", Reason: "must have 1 to 64 bytes"}
	case !c.Self.Role.Valid():
		return &ConfigError{Field: "role", Reason: "unknown"}
	case !c.Self.Address.IsValid() || c.Self.Address.Addr().Zone() != "":
		return &ConfigError{Field: "address", Reason: "must be an address without a scope"}
	case !slices.Contains(announcedStatuses, c.Self.Status):
		return &ConfigError{Field: "status", Reason: "not a status that a process announces"}
	case c.Rand == nil:
		return &ConfigError{Field: "rand", Reason: "missing"}
	}
	return nil
}

// OutgoingMessage is an encoded message and the address of its receiver.
type OutgoingMessage struct {
	To   netip.AddrPort
	Body []byte
}

// EventKind is the kind of a membership event.
type EventKind string

// The kinds of events.
const (
	Joined    EventKind = "joined"
	Updated   EventKind = "updated"
	Suspected EventKind = "suspected"
	Failed    EventKind = "failed"
	Refuted   EventKind = "refuted"
	Left      EventKind = "left"
	// Evicted reports that an expired record was removed.
	Evicted      EventKind = "dropped"
	ZoneLost     EventKind = "zone_lost"
	ZoneReturned EventKind = "zone_returned"
	// OwnVMSuperseded reports that another process announces the local VM with a later
	// incarnation. The process must announce a greater incarnation or stop.
	OwnVMSuperseded EventKind = "superseded"
	// MessageRejected reports a message or record that could not be decoded.
	MessageRejected EventKind = "rejected"
)

// Event reports a status change of a member or zone, or a rejected message.
type Event struct {
	Kind        EventKind
	VM          vm.ID
	Incarnation vm.Incarnation
	Zone        zone.ID
	Reason      string
}

// Output holds the messages to send and the events that result from one call.
type Output struct {
	Messages []OutgoingMessage
	Events   []Event
}
