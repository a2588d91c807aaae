package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

type kind uint8

const (
	kindPing kind = 1 + iota
	kindAck
	kindProbeRequest
	kindNack
	kindGossip
	kindDigest
	kindBuckets
	kindHave
	kindRecords
	kindJoin
	kindWelcome
	kindEnd
)

// message is the body of a gossip frame.
type message struct {
	Kind    kind              `cbor:"1,keyasint"`
	From    uint64            `cbor:"2,keyasint"`
	Seq     uint32            `cbor:"3,keyasint,omitempty"`
	Target  uint64            `cbor:"4,keyasint,omitempty"`
	Stamps  []stamp           `cbor:"5,keyasint,omitempty"`
	Digests []uint64          `cbor:"6,keyasint,omitempty"`
	Zone    uint32            `cbor:"7,keyasint,omitempty"`
	Buckets []byte            `cbor:"8,keyasint,omitempty"`
	Ask     []byte            `cbor:"9,keyasint,omitempty"`
	Have    []summary         `cbor:"10,keyasint,omitempty"`
	Want    []uint64          `cbor:"11,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"12,keyasint,omitempty"`
}

// stamp is the sign of life of a zone.
type stamp struct {
	_     struct{} `cbor:",toarray"`
	Zone  uint32
	Count uint64
}

// summary is the position of a record in the order of records.
type summary struct {
	_           struct{} `cbor:",toarray"`
	Hash        uint64
	Incarnation uint64
	Version     uint64
	Verdict     verdict
}

// wireRecord is an announcement with the verdict of its observers.
type wireRecord struct {
	VM          string   `cbor:"1,keyasint"`
	Role        uint8    `cbor:"2,keyasint"`
	Zone        string   `cbor:"3,keyasint"`
	Service     string   `cbor:"4,keyasint,omitempty"`
	Address     []byte   `cbor:"5,keyasint"`
	Incarnation uint64   `cbor:"6,keyasint"`
	Status      uint8    `cbor:"7,keyasint"`
	Version     uint64   `cbor:"8,keyasint"`
	WarmUpUntil int64    `cbor:"9,keyasint,omitempty"`
	Verdict     verdict  `cbor:"10,keyasint,omitempty"`
	Observers   []uint64 `cbor:"11,keyasint,omitempty"`
}

const (
	maxNameBytes = 64
	maxZoneBytes = 64
	// maxVersion keeps a refutation, which adds one, from wrapping around.
	maxVersion = 1 << 62
)

var (
	roles    = []vm.Role{vm.RoleBalancer, vm.RoleUpstream, vm.RoleControl}
	statuses = []view.Status{view.Starting, view.Ready, view.Leaving, view.Left}
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: MaxBody,
		MaxMapPairs:      bucketCount,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// DecodeError reports a body that is not a valid message.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return fmt.Sprintf("gossip message rejected: %s", e.Reason) }

func decode(body []byte) (*message, error) {
	if len(body) > MaxBody {
		return nil, &DecodeError{Reason: "too long"}
	}
	var m message
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if m.Kind == 0 || m.Kind >= kindEnd {
		return nil, &DecodeError{Reason: "unknown kind"}
	}
	if m.Kind == kindBuckets && len(m.Buckets) != bucketCount*bucketBytes {
		return nil, &DecodeError{Reason: "wrong number of buckets"}
	}
	if m.Kind == kindDigest && len(m.Digests) > len(m.Stamps) {
		return nil, &DecodeError{Reason: "digests without zones"}
	}
	return &m, nil
}

func encode(m *message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		// No field of a message has a type that cannot be encoded.
		panic(err)
	}
	return b
}

func encodeRecord(r *record) cbor.RawMessage {
	w := wireRecord{
		VM:          string(r.member.VM),
		Role:        uint8(slices.Index(roles, r.member.Role)),
		Zone:        r.member.Zone.String(),
		Service:     string(r.member.Service),
		Incarnation: uint64(r.member.Incarnation),
		Status:      uint8(slices.Index(statuses, r.member.Status)),
		Version:     r.member.Version,
		Verdict:     r.verdict,
	}
	w.Address, _ = r.member.Address.MarshalBinary()
	if !r.member.WarmUpUntil.IsZero() {
		w.WarmUpUntil = r.member.WarmUpUntil.Unix()
	}
	if r.verdict != alive {
		w.Observers = r.observers[:]
	}
	b, err := cbor.Marshal(&w)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeRecord(raw cbor.RawMessage) (*record, error) {
	var w wireRecord
	if err := decoder.Unmarshal(raw, &w); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if w.VM == "" || len(w.VM) > maxNameBytes || len(w.Service) > maxNameBytes || len(w.Zone) > maxZoneBytes {
		return nil, &DecodeError{Reason: "bad name"}
	}
	if int(w.Role) >= len(roles) || int(w.Status) >= len(statuses) || w.Verdict > failed || w.Version > maxVersion {
		return nil, &DecodeError{Reason: "bad role, status, verdict or version"}
	}
	z, err := zone.Parse(w.Zone)
	if err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.Address); err != nil || !address.IsValid() || address.Addr().Zone() != "" {
		return nil, &DecodeError{Reason: "bad address"}
	}
	r := &record{verdict: w.Verdict, member: view.Member{
		VM: vm.ID(w.VM), Role: roles[w.Role], Zone: z, Service: service.Name(w.Service), Address: address,
		Incarnation: vm.Incarnation(w.Incarnation), Status: statuses[w.Status], Version: w.Version,
	}}
	if w.WarmUpUntil != 0 {
		r.member.WarmUpUntil = time.Unix(w.WarmUpUntil, 0)
	}
	copy(r.observers[:], w.Observers)
	return r, nil
}
