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
	// Refuse the opening with a reset to the caller: it was not run.
	Refuse
	// ResetCaller ends a flow that nobody holds with a reset to the caller.
	ResetCaller
	// Drop and count the packet.
	Drop
	// Hold keeps a copy of the packet under Ticket.
	Hold
	// Release handles the held packet of Ticket again with HandleFrame.
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
