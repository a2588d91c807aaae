package agent

import (
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Kind says what the adapter has to do.
type Kind uint8

// The kinds of actions.
const (
	// Deliver the packet to the upstream: source becomes Alias, destination
	// becomes Upstream.
	Deliver Kind = iota + 1
	// Reply to the caller: source becomes Flow.Virtual, destination Flow.Caller.
	Reply
	// Forward the packet to the agent at To with Header.
	Forward
	// Refuse the opening with a reset to the caller: it was not run. If Ticket
	// is not 0, the opening is the held packet of Ticket, which is forgotten.
	// A refused datagram is answered with an ICMP error (port unreachable).
	Refuse
	// ResetCaller ends a flow that nobody holds with a reset to the caller.
	ResetCaller
	// Drop and count the packet.
	Drop
	// Hold keeps a copy of the packet, with the header that it came with,
	// under Ticket until a Release, a Discard or a Refuse names the ticket.
	Hold
	// Release handles the held packet of Ticket again with HandleFrame and the
	// header that it came with, and forgets it.
	Release
	// Discard forgets the held packet of Ticket.
	Discard
	// Send the message to the process at To.
	Send
)

// Reason says why. It names a counter.
type Reason string

// The reasons of drops, refusals and resets.
const (
	WrongService     Reason = "wrong_service"
	StaleIncarnation Reason = "stale_incarnation"
	NoView           Reason = "no_view"
	UnknownFlow      Reason = "unknown_flow"
	UnknownAlias     Reason = "unknown_alias"
	InGracePeriod    Reason = "grace_period"
	NoSlot           Reason = "no_slot"
	FlowLimit        Reason = "flow_limit"
	HalfOpenLimit    Reason = "half_open_limit"
	AliasesUsedUp    Reason = "aliases_used_up"
	NoUpstream       Reason = "no_upstream"
	TooManyPasses    Reason = "too_many_passes"
	TrafficOff       Reason = "traffic_off"
	NotReady         Reason = "not_ready"
	// Shedding: the upstream itself asks for less work.
	Shedding Reason = "shedding"
	// LateOpening: a delayed copy of the opening of a flow that has ended.
	LateOpening Reason = "late_opening"
	// AlreadyQueued: a copy of an opening that waits here.
	AlreadyQueued Reason = "already_queued"
	QueueFull     Reason = "queue_full"
	// QueueDeadline: no slot became free within the deadline of the contract.
	QueueDeadline Reason = "queue_deadline"
	// CallerGaveUp: the caller reset or no longer repeats a queued opening.
	CallerGaveUp Reason = "caller_gave_up"
	// BufferFull: too many packets arrived during a recovery.
	BufferFull Reason = "buffer_full"
	// OutcomeUnknown: the opening cannot be refused as not run, because a part
	// of it may have reached an upstream.
	OutcomeUnknown Reason = "outcome_unknown"
	// ClaimDenied, ClaimTimeout: the home did not let the opening run here.
	ClaimDenied  Reason = "claim_denied"
	ClaimTimeout Reason = "claim_timeout"
	// RegistryFull: no room to keep the flow of another agent.
	RegistryFull Reason = "registry_full"
	// UpstreamFailed: the upstream that held the flow has failed.
	UpstreamFailed Reason = "upstream_lost"
)

// Action is one thing that the adapter has to do, in the order given.
type Action struct {
	Kind     Kind
	Reason   Reason
	Flow     flow.Key
	Alias    netip.AddrPort
	Upstream netip.AddrPort
	To       netip.AddrPort
	ToVM     vm.ID
	Header   frame.Header
	Ticket   uint64
	Message  *peer.Message
}

// Actions collects the actions of one event. Reuse it to save allocations.
type Actions struct {
	List []Action
}

// Clear empties the list and keeps its memory.
func (a *Actions) Clear() { a.List = a.List[:0] }

func (a *Actions) add(action Action) { a.List = append(a.List, action) }

func (a *Actions) drop(r Reason) { a.add(Action{Kind: Drop, Reason: r}) }
