package agent

import (
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Kind is what the adapter has to do for an action.
type Kind uint8

// The kinds of actions.
const (
	// Deliver sends the packet to the upstream. Its source becomes Alias and its
	// destination Upstream.
	Deliver Kind = iota + 1
	// Reply sends the packet to the caller. Its source becomes Flow.Virtual and
	// its destination Flow.Caller.
	Reply
	// Forward sends the packet to the agent at To with Header.
	Forward
	// Refuse sends the caller a reset, which reports that the request of the
	// opening was not executed.
	// For a datagram it sends an ICMP error (port unreachable). If Ticket is not
	// 0, the opening is the buffered packet of Ticket, which is removed.
	Refuse
	// ResetCaller sends the caller a reset for a flow that has no holder.
	ResetCaller
	// Drop discards the packet and counts it under Reason.
	Drop
	// BufferPacket stores a copy of the packet and of its frame header under
	// Ticket. It is kept until a ReprocessPacket, a DropBuffered or a Refuse names
	// the ticket.
	BufferPacket
	// ReprocessPacket removes the buffered packet of Ticket and passes it to
	// HandleFrame again, with the frame header that it arrived with.
	ReprocessPacket
	// DropBuffered removes the buffered packet of Ticket.
	DropBuffered
	// Send sends Message to the process at To.
	Send
)

// Reason is the cause of an action and the name of its counter.
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
	// TooManyPasses: not used by this package.
	TooManyPasses Reason = "too_many_passes"
	TrafficOff    Reason = "traffic_off"
	NotReady      Reason = "not_ready"
	// Shedding: the upstream requests that no openings are placed on it for now.
	// While the agent itself drains, the reason is NotReady instead.
	Shedding Reason = "shedding"
	// WarmingUp: the upstream is cold and has got the openings that it bears at present.
	WarmingUp Reason = "warming_up"
	// LateOpening: a delayed copy of the opening of a flow that has ended.
	LateOpening Reason = "late_opening"
	// AlreadyQueued: a copy of an opening that is queued here or awaits the
	// response to its claim. It also covers an opening that exceeds Limits.Claims.
	AlreadyQueued Reason = "already_queued"
	QueueFull     Reason = "queue_full"
	// QueueDeadline: no slot became free within the queue deadline of the
	// contract. The deadline starts anew each time that the opening is queued.
	QueueDeadline Reason = "queue_deadline"
	// CallerGaveUp: the caller reset a queued opening, stopped retransmitting it
	// or opened another connection from the same port.
	CallerGaveUp Reason = "caller_gave_up"
	// BufferFull: the limit of packets buffered during a recovery is reached.
	BufferFull Reason = "buffer_full"
	// OutcomeUnknown: the opening cannot be refused, because its request may have
	// been executed: a part of the payload may have reached an upstream.
	OutcomeUnknown Reason = "outcome_unknown"
	// ClaimDenied: the home denied the claim for the opening. ClaimTimeout: it did
	// not respond in time.
	ClaimDenied  Reason = "claim_denied"
	ClaimTimeout Reason = "claim_timeout"
	// RegistryFull: the registry has no room for a flow of another agent.
	RegistryFull Reason = "registry_full"
	// UpstreamFailed: the upstream that held the flow has failed.
	UpstreamFailed Reason = "upstream_lost"
)

// Action is one step for the adapter. Actions are executed in their order.
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

// Actions collects the actions of one event. Reusing it saves allocations.
type Actions struct {
	List []Action
}

// Clear removes all actions and keeps the allocated memory.
func (a *Actions) Clear() { a.List = a.List[:0] }

func (a *Actions) add(action Action) { a.List = append(a.List, action) }

func (a *Actions) drop(r Reason) { a.add(Action{Kind: Drop, Reason: r}) }
