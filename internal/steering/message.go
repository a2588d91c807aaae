package steering

import (
	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/flow"
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// MessageKind says what a message tells.
type MessageKind uint8

// The kinds of messages. Locate goes from balancers to agents, the others from
// agents to balancers.
const (
	// Accepted: the upstream has answered the opening.
	Accepted MessageKind = iota + 1
	// Rejected: the opening is not taken; Verdict says why.
	Rejected
	// NotFound: the upstream does not hold the flow of a packet.
	NotFound
	// Locate asks which of some flows the upstream holds.
	Locate
	// Located answers Locate with a verdict for each flow.
	Located
	// Holding: the upstream has sent a packet of a flow that it was tried with.
	Holding
)

var messageNames = [...]string{
	Accepted: "accepted", Rejected: "rejected", NotFound: "not_found", Locate: "locate", Located: "located", Holding: "holding",
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
	// Unready: the agent does not know yet whether its upstream takes work.
	Unready
	// Silent: the upstream does not answer.
	Silent
	// Refused: the upstream returned the opening.
	Refused
	// Foreign: the upstream belongs to another service.
	Foreign
	Holds
	HoldsNot
	// Unsure: the agent started after its upstream and has seen no packet of
	// the flow.
	Unsure
)

var verdictNames = [...]string{
	Busy: "busy", Overloaded: "overloaded", Leaving: "leaving", Unready: "unready", Silent: "silent", Refused: "refused", Foreign: "foreign",
	Holds: "holds", HoldsNot: "holds_not", Unsure: "unsure",
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
	// Sequence is that of the opening, or in Accepted that of the upstream's
	// answer.
	Sequence uint32
	// Ack is the acknowledgement number of the packet that was not found.
	Ack uint32
	// Load and Flows tell how busy the upstream is: requests in progress and
	// open flows.
	Load  uint16
	Flows uint16
	// Round numbers the questions of a balancer; an answer has the number of its
	// question.
	Round uint32
	// Questions are set in Locate, Verdicts in Located: Holds, HoldsNot or Unsure
	// for each question in their order.
	Questions []Question
	Verdicts  []Verdict
}

// Question asks about one flow.
type Question struct {
	_ struct{} `cbor:",toarray"`

	Flow flow.Key
	// Ack is the acknowledgement number of the caller's last packet.
	Ack uint32
}
