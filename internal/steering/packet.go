package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Flags are the properties of a packet that steering decisions depend on.
type Flags uint8

// The first four flags are the TCP flags of the same name.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned is set by an upstream on a packet that it does not accept and sends back
	// to its agent.
	Returned
)

// Has reports whether all flags in other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Packet has the header fields that steering decisions need, in either direction.
type Packet struct {
	Flow     flow.Key
	Flags    Flags
	Sequence uint32
	Ack      uint32
	// Payload is the number of bytes after the header.
	Payload int
}

// IsOpening reports whether the packet opens a new flow.
func (p *Packet) IsOpening() bool { return p.Flags.Has(SYN) && !p.Flags.Has(ACK) && !p.Flags.Has(RST) }

// ForwardingHeader is the metadata that a balancer writes into a packet for the
// agent.
type ForwardingHeader struct {
	// Service is the tag of the service that the balancer selected. An agent of another
	// service does not deliver the packet. This prevents misdelivery after the address
	// of an upstream was given to another service.
	Service ServiceTag
	// LastAttempt is set if no other upstream remains for the opening, or if this is
	// attempt number maxPlacementAttempts or a later one. The agent then does not reject
	// the opening because all slots are in use, or because the upstream did not answer
	// an earlier one.
	LastAttempt bool
	// TimeBudget is the time that remains to answer the caller within the latency
	// objective of its route.
	TimeBudget time.Duration
	// Class is the class of the route. ClassKnown is false in packets from balancers that
	// do not send it.
	Class      intent.Class
	ClassKnown bool
}

// ActionKind selects the operation that an Action requests.
type ActionKind uint8

// The kinds of actions.
const (
	// Forward sends Data with Header to the agent at To.
	Forward ActionKind = iota + 1
	// Deliver passes Data to the upstream beside the agent.
	Deliver
	// Reply sends Data, a packet of the upstream, to the caller.
	Reply
	// Reset sends a TCP reset to the caller: its flow does not exist, or no longer
	// exists.
	Reset
	// SendMessage sends Message to the process at To.
	SendMessage
	// ProbeUpstream checks whether the process of the upstream still exists. If it does
	// not, call Agent.UpstreamExited.
	ProbeUpstream
	// OpeningQueued reports that the balancer has queued an opening until it can be
	// placed.
	OpeningQueued
	// Drop discards the packet.
	Drop
)

// Reason is the cause of an action. It is part of the name of a counter and appears in
// the decision log. The strings are fixed; they stay when a Go name changes.
type Reason string

// The reasons of actions.
const (
	// Placed: the opening is sent to the first upstream selected for it, or is
	// delivered to the upstream. PlacedOnRetry: it is sent to another one, or was queued
	// before. Repeated: it is a copy of an opening that was forwarded before.
	Placed        Reason = "placed"
	PlacedOnRetry Reason = "placed_again"
	Repeated      Reason = "repeated"
	// KnownFlow: the flow is in the table. It is also the reason of lookup responses.
	// HolderFound: a lookup has found the holder. CandidateTried: a lookup request is
	// sent, or a packet of a flow whose holder is unknown is forwarded or delivered.
	KnownFlow      Reason = "known"
	HolderFound    Reason = "found"
	CandidateTried Reason = "tried"
	NoRoute        Reason = "no_route"
	RouteRemoved   Reason = "route_removed"
	NoUpstream     Reason = "no_upstream"
	LinkSaturated  Reason = "link_full"
	// AllOverloaded: the opening is refused because upstreams have rejected it, or others
	// shortly before, as overloaded.
	// NoneAccepted: no upstream has accepted the opening so far.
	AllOverloaded Reason = "overloaded"
	NoneAccepted  Reason = "none_answered"
	// ZonesOutOfService: the opening is refused because all upstreams of the service that
	// could accept it are in zones that are out of service.
	ZonesOutOfService Reason = "zones_out"
	NoDesiredState    Reason = "no_desired_state"
	// AllWarmingUp: the opening is refused because the upstreams that could take it are
	// cold and have rejected openings shortly before. UpstreamCold: a copy of an opening
	// is dropped because the upstream is cold.
	AllWarmingUp Reason = "all_warming_up"
	UpstreamCold Reason = "warming_up"
	// NotReady: the opening is rejected. Its verdict has the cause.
	NotReady Reason = "not_ready"
	NotHeld  Reason = "not_held"
	// Deferred: a packet of an open flow was delivered after it had waited in the agent for
	// a place at the upstream, or is a copy of one that waits.
	Deferred Reason = "deferred"
	// LookupQueueFull and BufferFull: a packet is dropped because a limit on lookups or
	// on buffered packets is reached.
	LookupQueueFull Reason = "search_limit"
	BufferFull      Reason = "hold_full"
	// HeldTooLong: a packet is dropped because it has waited for the link for too long.
	HeldTooLong Reason = "held_too_long"
	// DirectoryIncomplete, AgentNotResponding and AgentUndetermined state why a lookup
	// that found no holder does not prove that there is none.
	DirectoryIncomplete Reason = "directory_incomplete"
	AgentNotResponding  Reason = "agent_silent"
	AgentUndetermined   Reason = "agent_unsure"
	WrongService        Reason = "wrong_service"
	UpstreamReplied     Reason = "upstream_replied"
	// CapacityChanged: a capacity report is sent.
	CapacityChanged Reason = "capacity_changed"
	NoHolder        Reason = "nobody_holds"
	UpstreamFailed  Reason = "upstream_lost"
	// NotOurs is the reason of no action at present.
	NotOurs Reason = "not_ours"
)

// Action is one operation that the program must carry out. Actions are carried out in
// list order. Data is valid until the next call of a method.
type Action struct {
	Kind    ActionKind
	Reason  Reason
	Flow    flow.Key
	To      netip.Addr
	Header  ForwardingHeader
	Data    []byte
	Message Message
	// Sequence is the sequence number of a Reset: the last acknowledgement number of
	// the caller.
	Sequence uint32
	// Incarnation is the incarnation of the upstream that ProbeUpstream checks.
	Incarnation vm.Incarnation
	// Waited is the duration of a holder lookup that has ended with a holder or with a
	// reset.
	Waited time.Duration
	// Placement is set if an upstream was selected for an opening.
	Placement PlacementInfo
}

// PlacementInfo records the inputs of the selection of an upstream, for the decision
// log.
type PlacementInfo struct {
	// Load is the number of requests in progress at the upstream according to its last
	// report. Slots is its capacity, and Age the age of the report.
	Load, Slots int
	Age         time.Duration
	// Attempt is the number of upstreams that the opening was sent to, including this
	// one.
	Attempt int
	// Answer is the learned time of an answer and Health the share of requests that end
	// well, both AnswerAge old. They are zero unless the upstream was selected by them.
	Answer, AnswerAge time.Duration
	Health            float64
}
