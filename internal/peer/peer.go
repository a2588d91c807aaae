// Package peer defines the messages between agents, and from agents to
// balancers. They travel as authenticated frames over UDP and can be lost,
// duplicated or reordered, so each is idempotent or carries a sequence number.
package peer

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// MaxBodyBytes bounds an encoded message, so that its frame fits one datagram.
const MaxBodyBytes = 1200

// MaxFlowsPerMessage bounds the flows in one message, so that it stays below
// MaxBodyBytes with IPv6 addresses.
const MaxFlowsPerMessage = 8

// FlowRecord is what a peer keeps so that the holder can take a flow up again
// after a restart.
type FlowRecord struct {
	_ struct{} `cbor:",toarray"`

	Key         flow.Key       `cbor:"1,keyasint"`
	Alias       netip.AddrPort `cbor:"2,keyasint"`
	Phase       flow.Phase     `cbor:"3,keyasint"`
	HoldsSlot   bool           `cbor:"4,keyasint"`
	Incarnation vm.Incarnation `cbor:"5,keyasint"`
	// OpenedAt is the Unix time in nanoseconds at which the holder admitted
	// the flow. It orders flows that use one key after another.
	OpenedAt int64 `cbor:"6,keyasint,omitempty"`
	// PayloadDelivered: a byte of the caller was handed to the upstream.
	PayloadDelivered bool `cbor:"7,keyasint,omitempty"`
}

// Register asks the receiver to keep records for the sender.
type Register struct {
	_ struct{} `cbor:",toarray"`

	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Flows       []FlowRecord   `cbor:"3,keyasint"`
}

// Unregister says that flows of the sender have ended.
type Unregister struct {
	_ struct{} `cbor:",toarray"`

	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Flows       []flow.Key     `cbor:"3,keyasint"`
	// OpenedBefore is a Unix time in nanoseconds. A flow that was opened later
	// is another one with the same key, which has not ended.
	OpenedBefore int64 `cbor:"4,keyasint,omitempty"`
}

// MaxBucketsPerMessage bounds the buckets in one message.
const MaxBucketsPerMessage = 64

// Renew asks the receiver to keep the records of the sender for longer. Each
// bucket sums up the flows that the receiver should know.
type Renew struct {
	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	Buckets     []Bucket       `cbor:"3,keyasint"`
	// Before is a Unix time in nanoseconds; flows opened later are left out.
	Before int64 `cbor:"4,keyasint"`
}

// Bucket sums up the flows whose keyed hash, modulo MaxBucketsPerMessage, is
// Number.
type Bucket struct {
	_      struct{} `cbor:",toarray"`
	Number uint8
	Count  uint32
	// Digest is the exclusive or over the flows of the hash of each flow mixed
	// with the time of its opening.
	Digest uint64
}

// RenewResponse names the buckets whose flows the registrar wants to be registered
// again, because its own sum differs.
type RenewResponse struct {
	From           vm.ID          `cbor:"1,keyasint"`
	Incarnation    vm.Incarnation `cbor:"2,keyasint"`
	MissingBuckets []uint8        `cbor:"3,keyasint"`
}

// Superseded tells a holder that the caller has opened a newer flow with the
// same key at another agent.
type Superseded struct {
	Key flow.Key `cbor:"1,keyasint"`
	// OpenedAt is that of the newer flow.
	OpenedAt int64 `cbor:"2,keyasint"`
}

// RecoverRequest asks for all records that name the sender.
type RecoverRequest struct {
	Holder      vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
	// Missing, if not empty, names the parts that are still wanted.
	Missing []uint32 `cbor:"3,keyasint,omitempty"`
}

// RecoverResponse answers RecoverRequest with a part of the records. More is false in the
// last part.
type RecoverResponse struct {
	From  vm.ID        `cbor:"1,keyasint"`
	Part  uint32       `cbor:"2,keyasint"`
	Flows []FlowRecord `cbor:"3,keyasint"`
	More  bool         `cbor:"4,keyasint"`
	// Incarnation is that of the RecoverRequest.
	Incarnation vm.Incarnation `cbor:"5,keyasint"`
}

// Load tells how busy an upstream is. Older sequence numbers are ignored.
type Load struct {
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
	// Placed is the greatest placement number that arrived from the receiver.
	Placed uint32 `cbor:"10,keyasint"`
	// Shedding: the upstream asks for no new work.
	Shedding bool `cbor:"11,keyasint,omitempty"`
}

// Hint tells a balancer who holds a flow. An empty holder deletes the hint.
type Hint struct {
	_ struct{} `cbor:",toarray"`

	Key         flow.Key       `cbor:"1,keyasint"`
	Holder      vm.ID          `cbor:"2,keyasint"`
	Incarnation vm.Incarnation `cbor:"3,keyasint"`
	Epoch       uint64         `cbor:"4,keyasint"`
}

// Claim asks the home of a flow for the exclusive right to run its opening, or
// gives that right back.
type Claim struct {
	Key         flow.Key       `cbor:"1,keyasint"`
	Holder      vm.ID          `cbor:"2,keyasint"`
	Incarnation vm.Incarnation `cbor:"3,keyasint"`
	Epoch       uint64         `cbor:"4,keyasint"`
	// Number orders the claims of one incarnation of the holder.
	Number uint64 `cbor:"5,keyasint"`
	// Release gives the claim with Number back: the opening was not run.
	Release bool `cbor:"6,keyasint,omitempty"`
	// Opening is the sequence number of the SYN, 0 for a datagram.
	Opening uint32 `cbor:"7,keyasint,omitempty"`
}

// ClaimResponse answers Claim.
type ClaimResponse struct {
	Key     flow.Key `cbor:"1,keyasint"`
	Granted bool     `cbor:"2,keyasint"`
	Epoch   uint64   `cbor:"3,keyasint"`
	Reason  string   `cbor:"4,keyasint,omitempty"`
	// Number is that of the claim.
	Number uint64 `cbor:"5,keyasint"`
	// Holder is set on a denial if another agent holds the flow.
	Holder            vm.ID          `cbor:"6,keyasint,omitempty"`
	HolderIncarnation vm.Incarnation `cbor:"7,keyasint,omitempty"`
}

// Message is one of the messages; exactly one field is set.
type Message struct {
	Register        *Register        `cbor:"1,keyasint,omitempty"`
	Unregister      *Unregister      `cbor:"2,keyasint,omitempty"`
	RecoverRequest  *RecoverRequest  `cbor:"3,keyasint,omitempty"`
	RecoverResponse *RecoverResponse `cbor:"4,keyasint,omitempty"`
	Load            *Load            `cbor:"5,keyasint,omitempty"`
	Hint            *Hint            `cbor:"6,keyasint,omitempty"`
	Claim           *Claim           `cbor:"7,keyasint,omitempty"`
	ClaimResponse   *ClaimResponse   `cbor:"8,keyasint,omitempty"`
	Superseded      *Superseded      `cbor:"9,keyasint,omitempty"`

	Renew         *Renew         `cbor:"10,keyasint,omitempty"`
	RenewResponse *RenewResponse `cbor:"11,keyasint,omitempty"`
}

// DecodeError reports a message that is not valid.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return "peer message: " + e.Reason }

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("CBOR options: %v", err))
	}
	return mode
}

// Encode returns the encoded message.
func Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message and checks that exactly one field is set.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxBodyBytes {
		return nil, &DecodeError{Reason: fmt.Sprintf("%d bytes exceed %d", len(b), MaxBodyBytes)}
	}
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if m.fields() != 1 {
		return nil, &DecodeError{Reason: "want exactly one message"}
	}
	return &m, nil
}

func (m *Message) fields() int {
	count := 0
	for _, set := range []bool{
		m.Register != nil, m.Unregister != nil, m.RecoverRequest != nil, m.RecoverResponse != nil,
		m.Load != nil, m.Hint != nil, m.Claim != nil, m.ClaimResponse != nil,
		m.Superseded != nil, m.Renew != nil, m.RenewResponse != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
