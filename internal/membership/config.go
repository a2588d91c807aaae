package membership

import (
	"math/rand/v2"
	"net/netip"
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
	// spreadFactor times log10 of the zone size is how often a node sends one
	// change; anti-entropy repairs the rest.
	spreadFactor   = 3
	maxSends       = 15
	piggybackBytes = 400
	gossipRate     = 1500.0 // bytes per second
	gossipBurst    = 8000.0 // bytes
	// The delegate's share of a burst; a single change costs about 1 KB.
	crossRate       = 6000.0
	crossBurst      = 24000.0
	syncRate        = 16000.0
	syncBurst       = 32000.0
	overheadBytes   = 81 // frame header and tag, UDP and IPv4
	syncPackets     = 8  // bounds the answer to one request
	digestReplies   = 2  // zones repaired in one exchange
	maxSummaries    = 28 // a summary takes at most 34 bytes
	wantBytes       = 9
	stampBytes      = 15
	digestInterval  = 10 * time.Second
	syncStep        = 200 * time.Millisecond
	stampInterval   = 5 * time.Second
	seedInterval    = time.Minute
	joinSpread      = time.Second
	maxJoinBackoff  = 30 * time.Second
	welcomeRecords  = 16
	welcomeRate     = 50.0 // answers to joins per second
	welcomeBurst    = 50.0
	returnStamps    = 2 // advances that end the loss of a zone
	failedPeerShare = 8 // one digest in so many goes to a failed member
	delegatesPer    = 2
	bucketCount     = 64
)

// Config describes the own process.
type Config struct {
	// Self is the first announcement. Its Incarnation must exceed that of any
	// earlier process on the same VM.
	Self view.Member
	// Seeds are the gossip addresses of the control VMs.
	Seeds []netip.AddrPort
	// Rand is the only source of randomness.
	Rand *rand.Rand
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
