// Package peer defines the messages between agents, and from agents to
// balancers. They are sent as authenticated frames over UDP. A message can be
// lost, duplicated or reordered, so each one is idempotent or carries a sequence
// number.
//
// The holder of a flow is the agent whose upstream owns the flow. It registers
// the flow at other agents, the registrars, which keep a copy of the flow
// record. The home of a flow is the member ranked first for it by rendezvous
// hashing.
package peer

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// MaxMessageBytes bounds an encoded message, so that its frame fits into one
// datagram.
const MaxMessageBytes = 1200

// MaxFlowsPerMessage bounds the flows in one message, so that it stays below
// MaxMessageBytes even with IPv6 addresses.
const MaxFlowsPerMessage = 8

// FlowRecord is the copy of a flow that a registrar keeps. The holder restores
// the flow from it after a restart.
type FlowRecord struct {
	_ struct{} `cbor:",toarray"`

	Key flow.Key `cbor:"1,keyasint"`
	// Alias is the source address and port that the upstream sees.
	Alias       netip.AddrPort `cbor:"2,keyasint"`
	Phase       flow.Phase     `cbor:"3,keyasint"`
	HoldsSlot   bool           `cbor:"4,keyasint"`
	Incarnation vm.Incarnation `cbor:"5,keyasint"`
	// OpenedAt is the Unix time in nanoseconds at which the holder admitted
	// the flow. It orders successive flows with the same key.
	OpenedAt int64 `cbor:"6,keyasint,omitempty"`
	// PayloadDelivered: the upstream received payload of the caller.
	PayloadDelivered bool `cbor:"7,keyasint,omitempty"`
}

// Register sends flow records of the holder to a registrar, which stores them.
type Register struct {
	_ struct{} `cbor:",toarray"`

	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Flows       []FlowRecord   `cbor:"3,keyasint"`
}

// Unregister reports to a registrar that flows of the holder have ended.
type Unregister struct {
	_ struct{} `cbor:",toarray"`

	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Flows       []flow.Key     `cbor:"3,keyasint"`
	// OpenedBefore is a Unix time in nanoseconds. A flow that was opened later
	// is a new one with the same key. It has not ended.
	OpenedBefore int64 `cbor:"4,keyasint,omitempty"`
}

// MaxShardsPerMessage bounds the shards in one message. It is also the modulus
// that assigns flow hashes to shards.
const MaxShardsPerMessage = 64

// RenewRequest requests that a registrar extends the expiry of the holder's records. Each
// summary covers the flows of one shard that the registrar should store.
type RenewRequest struct {
	Holder         vm.ID          `cbor:"1,keyasint"`
	Incarnation    vm.Incarnation `cbor:"2,keyasint"`
	ShardSummaries []ShardSummary `cbor:"3,keyasint"`
	// OpenedBefore is a Unix time in nanoseconds. The digests exclude flows that were
	// opened later.
	OpenedBefore int64 `cbor:"4,keyasint"`
}

// ShardSummary is a count and a digest of the flows of one shard: those whose keyed
// hash, modulo MaxShardsPerMessage, is Number.
type ShardSummary struct {
	_      struct{} `cbor:",toarray"`
	Number uint8
	Count  uint32
	// Digest is the exclusive or of one value for each flow: its hash, mixed with
	// the time of its opening.
	Digest uint64
}

// RenewResponse lists the shards whose flows the holder must register again. The
// registrar's own summaries of these shards differ.
type RenewResponse struct {
	From            vm.ID          `cbor:"1,keyasint"`
	Incarnation     vm.Incarnation `cbor:"2,keyasint"`
	DifferingShards []uint8        `cbor:"3,keyasint"`
}

// Superseded reports to a holder that the caller has opened a newer flow with
// the same key at another agent. The holder then closes the older flow.
type Superseded struct {
	Key flow.Key `cbor:"1,keyasint"`
	// OpenedAt is the FlowRecord.OpenedAt of the newer flow.
	OpenedAt int64 `cbor:"2,keyasint"`
}

// RecoverRequest requests all flow records of the holder from a registrar after
// the holder has restarted.
type RecoverRequest struct {
	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	// Missing lists the parts that the holder has not received. If it is empty,
	// the registrar sends all parts.
	Missing []uint32 `cbor:"3,keyasint,omitempty"`
}

// RecoverResponse is the response to RecoverRequest. It contains one part of the
// records.
type RecoverResponse struct {
	From  vm.ID        `cbor:"1,keyasint"`
	Part  uint32       `cbor:"2,keyasint"`
	Flows []FlowRecord `cbor:"3,keyasint"`
	// More is false in the last part.
	More bool `cbor:"4,keyasint"`
	// Incarnation is copied from the RecoverRequest.
	Incarnation vm.Incarnation `cbor:"5,keyasint"`
}

// LoadReport is the load report of an upstream to the placers of its service. Reports
// with an older sequence number are ignored.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`

	VM          vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64         `cbor:"3,keyasint"`
	Busy        int            `cbor:"4,keyasint"`
	Queued      int            `cbor:"5,keyasint"`
	Slots       int            `cbor:"6,keyasint"`
	Flows       int            `cbor:"7,keyasint"`
	MaxFlows    int            `cbor:"8,keyasint"`
	Status      view.Status    `cbor:"9,keyasint"`
	// LastPlacement is the greatest frame.Header.Placement that the sender has received
	// from the receiver of this report. The report includes the placements up to
	// this number.
	LastPlacement uint32 `cbor:"10,keyasint"`
	// Shedding: the upstream requests that no openings are placed on it.
	Shedding bool `cbor:"11,keyasint,omitempty"`
}

// Hint reports the holder of a flow to a balancer. An empty holder deletes the
// hint.
type Hint struct {
	_ struct{} `cbor:",toarray"`

	Key         flow.Key       `cbor:"1,keyasint"`
	Holder      vm.ID          `cbor:"2,keyasint"`
	Incarnation vm.Incarnation `cbor:"3,keyasint"`
	Epoch       uint64         `cbor:"4,keyasint"`
}

// Claim requests from the home of a flow the exclusive right to run its opening,
// or releases that right.
type Claim struct {
	Key         flow.Key       `cbor:"1,keyasint"`
	Holder      vm.ID          `cbor:"2,keyasint"`
	Incarnation vm.Incarnation `cbor:"3,keyasint"`
	// Epoch is the intent revision of the holder's view.
	Epoch uint64 `cbor:"4,keyasint"`
	// Number orders the claims of one incarnation of the holder.
	Number uint64 `cbor:"5,keyasint"`
	// Release releases the grant of this claim, which Number identifies. It is set
	// when the opening was not run.
	Release bool `cbor:"6,keyasint,omitempty"`
	// Opening is the sequence number of the SYN, 0 for a datagram.
	Opening uint32 `cbor:"7,keyasint,omitempty"`
}

// ClaimResponse is the response to Claim.
type ClaimResponse struct {
	Key     flow.Key `cbor:"1,keyasint"`
	Granted bool     `cbor:"2,keyasint"`
	Epoch   uint64   `cbor:"3,keyasint"`
	Reason  string   `cbor:"4,keyasint,omitempty"`
	// Number is copied from the Claim.
	Number uint64 `cbor:"5,keyasint"`
	// Holder is set on a denial if another agent has the claim or the flow.
	Holder            vm.ID          `cbor:"6,keyasint,omitempty"`
	HolderIncarnation vm.Incarnation `cbor:"7,keyasint,omitempty"`
}

// Message contains one message: exactly one field is set.
type Message struct {
	Register        *Register        `cbor:"1,keyasint,omitempty"`
	Unregister      *Unregister      `cbor:"2,keyasint,omitempty"`
	RecoverRequest  *RecoverRequest  `cbor:"3,keyasint,omitempty"`
	RecoverResponse *RecoverResponse `cbor:"4,keyasint,omitempty"`
	LoadReport      *LoadReport      `cbor:"5,keyasint,omitempty"`
	Hint            *Hint            `cbor:"6,keyasint,omitempty"`
	Claim           *Claim           `cbor:"7,keyasint,omitempty"`
	ClaimResponse   *ClaimResponse   `cbor:"8,keyasint,omitempty"`
	Superseded      *Superseded      `cbor:"9,keyasint,omitempty"`

	RenewRequest  *RenewRequest  `cbor:"10,keyasint,omitempty"`
	RenewResponse *RenewResponse `cbor:"11,keyasint,omitempty"`
}

// DecodeError reports an invalid message.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return "peer message: " + e.Reason }

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR decoding options: %v", err))
	}
	return mode
}

// Encode returns the encoded message.
func Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message and checks that exactly one field is set.
func Decode(body []byte) (*Message, error) {
	if len(body) > MaxMessageBytes {
		return nil, &DecodeError{Reason: fmt.Sprintf("%d bytes exceed %d", len(body), MaxMessageBytes)}
	}
	var m Message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if m.setFieldCount() != 1 {
		return nil, &DecodeError{Reason: "want exactly one message"}
	}
	return &m, nil
}

// setFieldCount returns the number of fields that are set.
func (m *Message) setFieldCount() int {
	count := 0
	for _, set := range []bool{
		m.Register != nil, m.Unregister != nil, m.RecoverRequest != nil, m.RecoverResponse != nil,
		m.LoadReport != nil, m.Hint != nil, m.Claim != nil, m.ClaimResponse != nil,
		m.Superseded != nil, m.RenewRequest != nil, m.RenewResponse != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
