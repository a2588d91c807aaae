package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Flags are the properties of a packet that decisions depend on.
type Flags uint8

// The flags of a packet.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned is set by an upstream on a packet that it does not take.
	Returned
)

// Has reports whether all the given flags are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Packet is what decisions need to know of a packet, in either direction.
type Packet struct {
	Flow     flow.Key
	Flags    Flags
	Sequence uint32
	Ack      uint32
	// Payload is the number of bytes after the header.
	Payload int
}

// IsOpening reports whether the packet asks for a new flow.
func (p *Packet) IsOpening() bool { return p.Flags.Has(SYN) && !p.Flags.Has(ACK) && !p.Flags.Has(RST) }

// ForwardingHeader travels in a packet from a balancer to an agent.
type ForwardingHeader struct {
	// Service is the tag of the service that the balancer chose. An agent of
	// another service does not deliver the packet, so that an address that was
	// given to another service leads nobody astray.
	Service uint16
	// LastCandidate says that no other upstream is left to try.
	LastCandidate bool
	// TimeBudget is how long the caller can wait for its answer and still be
	// served within the objective of its route.
	TimeBudget time.Duration
}

// ActionKind says what to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Forward Data with Header to the agent at To.
	Forward ActionKind = iota + 1
	// Deliver Data to the upstream beside the agent.
	Deliver
	// Reply sends Data of the upstream to the caller.
	Reply
	// Reset tells the caller that its flow is not or no longer there.
	Reset
	// SendMessage sends Message to the process at To.
	SendMessage
	// ProbeUpstream asks whether the process of the upstream still exists; the answer goes
	// to Agent.UpstreamExited.
	ProbeUpstream
	// QueueOpening: the balancer keeps an opening until it can be placed.
	QueueOpening
	// Drop the packet.
	Drop
)

// Reason says why. It names a counter and appears in the decision log.
type Reason string

// The reasons of actions.
const (
	Placed         Reason = "placed"
	PlacedOnRetry  Reason = "placed_again"
	Repeated       Reason = "repeated"
	KnownFlow      Reason = "known"
	HolderFound    Reason = "found"
	CandidateTried Reason = "tried"
	NoRoute        Reason = "no_route"
	RouteRemoved   Reason = "route_removed"
	NoUpstream     Reason = "no_upstream"
	LinkSaturated  Reason = "link_full"
	TooBusy        Reason = "overloaded"
	NoneAnswered   Reason = "none_answered"
	NoDesired      Reason = "no_desired_state"
	NotReady       Reason = "not_ready"
	NotHeld        Reason = "not_held"
	SearchLimit    Reason = "search_limit"
	HoldFull       Reason = "hold_full"
	// DirectoryIncomplete, AgentNotResponding and AgentUndetermined say why a search without a
	// holder is not certain.
	DirectoryIncomplete Reason = "directory_incomplete"
	AgentNotResponding  Reason = "agent_silent"
	AgentUndetermined   Reason = "agent_unsure"
	WrongService        Reason = "wrong_service"
	UpstreamReplied     Reason = "upstream_replied"
	NoHolder            Reason = "nobody_holds"
	UpstreamFailed      Reason = "upstream_lost"
	NotOurs             Reason = "not_ours"
)

// Action is one thing to do, in the order given. Data is valid until the next
// call.
type Action struct {
	Kind    ActionKind
	Reason  Reason
	Flow    flow.Key
	To      netip.Addr
	Header  ForwardingHeader
	Data    []byte
	Message Message
	// Sequence is that of a Reset: the last acknowledgement of the caller.
	Sequence uint32
	// Incarnation is that of the upstream of a ProbeUpstream.
	Incarnation vm.Incarnation
	// Waited is how long a search took that has ended with a holder or a reset.
	Waited time.Duration
	// Placement is set where an upstream was chosen for an opening.
	Placement PlacementInfo
}

// PlacementInfo is what decided for an upstream.
type PlacementInfo struct {
	// Load is how many requests the upstream had in progress, as far as was
	// known, of Slots. Age is how old that was.
	Load, Slots int
	Age         time.Duration
	// Attempt counts the upstreams that got the opening.
	Attempt int
}

// ServiceTag returns the tag of a service in forwarding headers.
func ServiceTag(name service.Name) uint16 {
	return uint16(hashName(string(name)))
}
