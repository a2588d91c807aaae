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

// MaxBody bounds a message body in bytes. With the largest frame header
// (98 bytes) it fits a datagram of 1,200 bytes.
const MaxBody = 1100

// recordBytes is what a message has for records beside its other fields: the
// kind, the sender, the sequence number and a target take less than 60 bytes.
const recordBytes = MaxBody - 60

const (
	// maxZones keeps a ping, with a stamp of at most 15 bytes per zone, below
	// MaxBody.
	maxZones = 24
	// maxRecords bounds the memory: five times the fleet of the design.
	maxRecords = 1 << 15
)

// TickInterval is how often Tick must be called.
const TickInterval = 100 * time.Millisecond

const (
	probeInterval = time.Second
	// directTimeout leaves room for a round trip between regions.
	directTimeout = 300 * time.Millisecond
	// relayRetry and relayTimeout: a helper probes twice before it disagrees,
	// because one lost datagram would make it a false second observer.
	relayRetry   = 200 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	probeTimeout = 900 * time.Millisecond
	helpers      = 2

	// refuteTimeout is how long a suspected member may answer.
	refuteTimeout = 3 * time.Second
	// Lease is how long a zone, or a member that nobody else can observe, is
	// kept without a sign of life.
	Lease = 30 * time.Second
	// tombstoneAge is how long failed and left records are kept. It must
	// exceed the longest partition, or the other side brings them back.
	tombstoneAge = time.Hour

	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// A node sends one change spreadFactor times log10 of the zone size, at
	// least minSends times. With 3 and no minimum a member in a fleet of 20
	// missed a change and got it only by repair, after 9.9 s.
	spreadFactor = 4
	minSends     = 8
	maxSends     = 17
	// gossipAge bounds how long a change is passed on. After a burst of 1,100
	// joins the queue would otherwise take minutes to drain.
	gossipAge      = 15 * time.Second
	piggybackBytes = 400
	// gossipRate is half of the control budget, in bytes per second. With a
	// gossipBurst of 8,000 bytes the loss of a rack of 20 was known everywhere
	// after 11.2 s, with 30,000 after 6.2 s.
	gossipRate  = 1500.0
	gossipBurst = 30000.0
)

const (
	// crossRate and crossBurst bound what a delegate sends to other zones. A
	// single change to five zones takes about 700 bytes.
	crossRate     = 6000.0
	crossBurst    = 24000.0
	stampInterval = 5 * time.Second
	returnStamps  = 2 // advances that end the loss of a zone
	delegatesPer  = 2
)

const (
	digestInterval = 10 * time.Second
	// A process younger than youngAge repairs itself each youngInterval.
	youngInterval = time.Second
	youngAge      = 30 * time.Second
	// syncStep is the time to the next exchange while exchanges bring news.
	syncStep      = 200 * time.Millisecond
	syncRate      = 16000.0
	syncBurst     = 32000.0
	syncPackets   = 8  // bounds the answer to one request
	digestReplies = 2  // zones repaired in one exchange
	maxSummaries  = 28 // a summary takes at most 34 bytes
	wantBytes     = 9
	stampBytes    = 15
	overheadBytes = 81 // frame header and tag, UDP and IPv4
	// failedContacts is how many digests a zone sends to failed members per
	// interval. With one digest in eight of each member a process that
	// restarted while the only seed was down was found after four minutes.
	failedContacts = 4
	bucketCount    = 64
)

const (
	seedInterval   = time.Minute
	joinSpread     = time.Second
	maxJoinBackoff = 30 * time.Second
	welcomeRecords = 16
	welcomeRate    = 50.0 // answers to joins per second
	welcomeBurst   = 50.0
)

// Config describes the own process.
type Config struct {
	// Self is the first announcement. Its Incarnation must exceed that of any
	// earlier process on the same VM.
	Self view.Member
	// Seeds are the gossip addresses of the control VMs. Addresses of members
	// known before a restart may follow, so that a process can also join while
	// no control VM is reachable.
	Seeds []netip.AddrPort
	// Rand is the only source of randomness.
	Rand *rand.Rand
}

// ConfigError reports a setting with which other members would reject the
// announcements of this process.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return "membership: " + e.Field + ": " + e.Reason }

// Validate checks what New relies on.
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
	case !slices.Contains(statuses, c.Self.Status):
		return &ConfigError{Field: "status", Reason: "not a status that a process announces"}
	case c.Rand == nil:
		return &ConfigError{Field: "rand", Reason: "missing"}
	}
	return nil
}

// Send is a message for one address.
type Send struct {
	To   netip.AddrPort
	Body []byte
}

// EventKind says what became of a member or zone.
type EventKind string

// The kinds of events.
const (
	Joined       EventKind = "joined"
	Updated      EventKind = "updated"
	Suspected    EventKind = "suspected"
	Failed       EventKind = "failed"
	Refuted      EventKind = "refuted"
	Left         EventKind = "left"
	Dropped      EventKind = "dropped"
	ZoneLost     EventKind = "zone_lost"
	ZoneReturned EventKind = "zone_returned"
	// Superseded: another process announces the own VM with a later
	// incarnation. The caller must restart with a greater incarnation or stop.
	Superseded EventKind = "superseded"
	// Rejected: a message body could not be decoded.
	Rejected EventKind = "rejected"
)

// Event is one change of the membership.
type Event struct {
	Kind        EventKind
	VM          vm.ID
	Incarnation vm.Incarnation
	Zone        zone.ID
	Reason      string
}

// Output is what one call decided.
type Output struct {
	Sends  []Send
	Events []Event
}
