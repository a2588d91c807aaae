package steering

import (
	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/flow"
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// MessageKind says what a message tells.
type MessageKind uint8

// The kinds of messages. LookupRequest goes from balancers to agents, the others
// from agents to balancers.
const (
	// OpeningAccepted: the upstream has answered the opening.
	OpeningAccepted MessageKind = iota + 1
	// OpeningRejected: the opening is not taken; Verdict says why.
	OpeningRejected
	// FlowNotFound: the upstream does not hold the flow of a packet.
	FlowNotFound
	// LookupRequest asks which of some flows the upstream holds.
	LookupRequest
	// LookupResponse answers LookupRequest with a verdict for each flow.
	LookupResponse
	// FlowConfirmed: the upstream has sent a packet of a flow that it was tried with.
	FlowConfirmed
)

var messageNames = [...]string{
	OpeningAccepted: "accepted", OpeningRejected: "rejected", FlowNotFound: "not_found", LookupRequest: "locate", LookupResponse: "located", FlowConfirmed: "holding",
}

func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return "unknown"
}

// Verdict is the content of an answer.
type Verdict uint8

// The verdicts on openings and questions.
const (
	// Busy: all slots are in use.
	Busy Verdict = iota + 1
	// Overloaded: the answer would come too late.
	Overloaded
	// Leaving: the upstream is about to stop.
	Leaving
	// StatusUnknown: the agent does not know yet whether its upstream takes work.
	StatusUnknown
	// NoResponse: the upstream does not answer.
	NoResponse
	// Refused: the upstream returned the opening.
	Refused
	// OtherService: the upstream belongs to another service.
	OtherService
	FlowHeld
	FlowNotHeld
	// FlowUndetermined: the agent started after its upstream and has seen no packet of
	// the flow.
	FlowUndetermined
)

var verdictNames = [...]string{
	Busy: "busy", Overloaded: "overloaded", Leaving: "leaving", StatusUnknown: "unready", NoResponse: "silent", Refused: "refused", OtherService: "foreign",
	FlowHeld: "holds", FlowNotHeld: "holds_not", FlowUndetermined: "unsure",
}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return ""
}

// Message goes between a balancer and an agent. It may be lost.
type Message struct {
	_ struct{} `cbor:",toarray"`

	Kind    MessageKind
	Verdict Verdict
	Flow    flow.Key
	// Sequence is that of the opening, or in OpeningAccepted that of the
	// upstream's answer.
	Sequence uint32
	// Ack is the acknowledgement number of the packet that was not found.
	Ack uint32
	// Load and Flows tell how busy the upstream is: requests in progress and
	// open flows.
	Load  uint16
	Flows uint16
	// LookupID numbers the lookups of a balancer; a response has the number of its
	// request.
	LookupID uint32
	// Lookups are set in LookupRequest, Verdicts in LookupResponse: FlowHeld,
	// FlowNotHeld or FlowUndetermined for each lookup in their order.
	Lookups  []FlowLookup
	Verdicts []Verdict
}

// FlowLookup asks about one flow.
type FlowLookup struct {
	_ struct{} `cbor:",toarray"`

	Flow flow.Key
	// Ack is the acknowledgement number of the caller's last packet.
	Ack uint32
}
