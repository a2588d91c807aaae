package steering

import (
	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/flow"
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// MessageKind identifies the type of a message.
type MessageKind uint8

// The kinds of messages. Balancers send LookupRequest to agents. Agents send the
// other kinds to balancers.
const (
	// OpeningAccepted: the upstream has answered the opening with a SYN-ACK.
	OpeningAccepted MessageKind = iota + 1
	// OpeningRejected: the opening is returned to the balancer. Verdict has the cause.
	OpeningRejected
	// FlowNotFound: the upstream does not hold the flow of a forwarded packet.
	FlowNotFound
	// LookupRequest lists flows; the agent determines which of them its upstream holds.
	LookupRequest
	// LookupResponse has a verdict for each flow of a LookupRequest.
	LookupResponse
	// FlowConfirmed: the upstream has sent a packet of a flow that was unknown to its
	// agent, so the upstream holds the flow.
	FlowConfirmed
	// CapacityReport: what the agent has learned about its upstream has changed. It
	// concerns no flow.
	CapacityReport
)

// messageNames has the names of messages in log lines and metrics. The strings are
// fixed; they stay when a Go name changes.
var messageNames = [...]string{
	OpeningAccepted: "accepted", OpeningRejected: "rejected", FlowNotFound: "not_found", LookupRequest: "locate", LookupResponse: "located", FlowConfirmed: "holding",
	CapacityReport: "capacity",
}

func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return "unknown"
}

// Verdict is the result of an opening or of the lookup of a flow.
type Verdict uint8

// The verdicts. FlowHeld, FlowNotHeld and FlowUndetermined are results of lookups. The
// others are the causes of a rejected opening. The numbers are sent in messages.
const (
	// Busy: all slots of the upstream are in use.
	Busy Verdict = iota + 1
	// Overloaded: the upstream is not expected to answer the request within its time
	// budget.
	Overloaded
	// NotAccepting: the upstream is stopping, has stopped, or is not ready for another
	// reason.
	NotAccepting
	// StatusUnknown: the agent has received no check-in, so the status of its upstream
	// is unknown.
	StatusUnknown
	// NoResponse: the upstream did not answer this opening in time, or did not answer
	// another one shortly before. It is also the verdict on an unanswered opening whose
	// upstream has exited.
	NoResponse
	// Refused: the upstream returned the opening, or the flow table of its agent is
	// full. The balancer tries another upstream.
	Refused
	// OtherService: the upstream belongs to another service.
	OtherService
	// FlowHeld: the upstream holds the flow.
	FlowHeld
	// FlowNotHeld: the upstream does not hold the flow.
	FlowNotHeld
	// FlowUndetermined: the agent started after its upstream and has received no packet
	// of the flow, so the upstream may hold it.
	FlowUndetermined
	// ZoneOutOfService: the availability zone of the upstream is out of service.
	ZoneOutOfService
	// ZoneUndetermined: the agent has just started and does not know yet whether its zone
	// is out of service.
	ZoneUndetermined
	// WarmingUp: the upstream is cold and has got the openings that it bears at present.
	WarmingUp
)

// verdictNames has the names of verdicts in log lines and metrics. The strings are
// fixed; they stay when a Go name changes.
var verdictNames = [...]string{
	Busy: "busy", Overloaded: "overloaded", NotAccepting: "leaving", StatusUnknown: "unready", NoResponse: "silent", Refused: "refused", OtherService: "foreign",
	ZoneOutOfService: "zone_out", ZoneUndetermined: "zone_unsure",
	FlowHeld: "holds", FlowNotHeld: "holds_not", FlowUndetermined: "unsure",
	WarmingUp: "warming_up",
}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return ""
}

// Message is a datagram between a balancer and an agent. It may be lost.
type Message struct {
	_ struct{} `cbor:",toarray"`

	Kind    MessageKind
	Verdict Verdict
	Flow    flow.Key
	// Sequence is the sequence number of the opening. In OpeningAccepted it is the
	// sequence number of the upstream's SYN-ACK.
	Sequence uint32
	// Ack is the acknowledgement number of the packet in FlowNotFound.
	Ack uint32
	// Load is the number of requests in progress at the upstream. Flows is the number
	// of flows in the table of its agent, or what it has learned; see decodeExpectation.
	Load  uint16
	Flows uint16
	// LookupID is unique among the lookup requests of a balancer. A response has the ID
	// of its request.
	LookupID uint32
	// Lookups is set in LookupRequest, Verdicts in LookupResponse. Verdicts has
	// FlowHeld, FlowNotHeld or FlowUndetermined for each lookup, in the order of the
	// request.
	Lookups  []FlowLookup
	Verdicts []Verdict
}

// FlowLookup requests the verdict on one flow.
type FlowLookup struct {
	_ struct{} `cbor:",toarray"`

	Flow flow.Key
	// Ack is the acknowledgement number of the caller's last packet.
	Ack uint32
}
