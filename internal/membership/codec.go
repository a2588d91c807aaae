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

type messageKind uint8

const (
	kindPing messageKind = 1 + iota
	kindAck
	kindPingRequest
	kindNack
	kindGossip
	kindZoneDigests
	kindBucketDigests
	kindRecordVersions
	kindRecords
	kindJoin
	kindJoinResponse
	firstUnassignedKind
)

// message is the body of a gossip frame. Which fields are set depends on the kind.
type message struct {
	Kind             messageKind       `cbor:"1,keyasint"`
	Sender           uint64            `cbor:"2,keyasint"`
	Seq              uint32            `cbor:"3,keyasint,omitempty"`
	Target           uint64            `cbor:"4,keyasint,omitempty"`
	ZoneHeartbeats   []zoneHeartbeat   `cbor:"5,keyasint,omitempty"`
	ZoneDigests      []uint64          `cbor:"6,keyasint,omitempty"`
	ZoneKey          uint32            `cbor:"7,keyasint,omitempty"`
	BucketDigests    []byte            `cbor:"8,keyasint,omitempty"`
	RequestedBuckets []byte            `cbor:"9,keyasint,omitempty"`
	RecordVersions   []recordVersion   `cbor:"10,keyasint,omitempty"`
	RequestedMembers []uint64          `cbor:"11,keyasint,omitempty"`
	Records          []cbor.RawMessage `cbor:"12,keyasint,omitempty"`
}

// zoneHeartbeat is the heartbeat counter of a zone. An increase renews the lease of
// the zone.
type zoneHeartbeat struct {
	_       struct{} `cbor:",toarray"`
	ZoneKey uint32
	Counter uint64
}

// recordVersion identifies a member and the version of its record. compareVersions
// orders the versions of one member.
type recordVersion struct {
	_           struct{} `cbor:",toarray"`
	Hash        uint64
	Incarnation uint64
	Version     uint64
	Liveness    liveness
}

// wireRecord is the encoded form of a memberRecord: an announcement, the liveness
// of the member and its observers.
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
	Liveness    liveness `cbor:"10,keyasint,omitempty"`
	Observers   []uint64 `cbor:"11,keyasint,omitempty"`
}

const (
	maxNameBytes = 64
	maxZoneBytes = 64
	// maxVersion is the highest accepted version. A refutation adds one, which must
	// not overflow.
	maxVersion = 1 << 62
)

var (
	wireRoles         = []vm.Role{vm.RoleBalancer, vm.RoleUpstream, vm.RoleControl}
	announcedStatuses = []view.Status{view.Starting, view.Ready, view.Leaving, view.Left}
)

var decodeMode = func() cbor.DecMode {
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

// DecodeError reports an invalid message body or record.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return fmt.Sprintf("gossip message rejected: %s", e.Reason) }

func decodeMessage(body []byte) (*message, error) {
	if len(body) > MaxBody {
		return nil, &DecodeError{Reason: "too long"}
	}
	var m message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if m.Kind == 0 || m.Kind >= firstUnassignedKind {
		return nil, &DecodeError{Reason: "unknown kind"}
	}
	if m.Kind == kindBucketDigests && len(m.BucketDigests) != bucketCount*bucketDigestBytes {
		return nil, &DecodeError{Reason: "wrong number of buckets"}
	}
	if m.Kind == kindZoneDigests && len(m.ZoneDigests) > len(m.ZoneHeartbeats) {
		return nil, &DecodeError{Reason: "digests without zones"}
	}
	return &m, nil
}

func encodeMessage(m *message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		// Unreachable: every field type can be encoded.
		panic(err)
	}
	return b
}

func encodeRecord(r *memberRecord) cbor.RawMessage {
	wire := wireRecord{
		VM:          string(r.member.VM),
		Role:        uint8(slices.Index(wireRoles, r.member.Role)),
		Zone:        r.member.Zone.String(),
		Service:     string(r.member.Service),
		Incarnation: uint64(r.member.Incarnation),
		Status:      uint8(slices.Index(announcedStatuses, r.member.Status)),
		Version:     r.member.Version,
		Liveness:    r.liveness,
	}
	wire.Address, _ = r.member.Address.MarshalBinary()
	if !r.member.WarmUpUntil.IsZero() {
		wire.WarmUpUntil = r.member.WarmUpUntil.Unix()
	}
	if r.liveness != alive {
		wire.Observers = r.observers[:]
	}
	b, err := cbor.Marshal(&wire)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeRecord(encoded cbor.RawMessage) (*memberRecord, error) {
	var wire wireRecord
	if err := decodeMode.Unmarshal(encoded, &wire); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if wire.VM == "" || len(wire.VM) > maxNameBytes || len(wire.Service) > maxNameBytes || len(wire.Zone) > maxZoneBytes {
		return nil, &DecodeError{Reason: "bad name"}
	}
	if int(wire.Role) >= len(wireRoles) || int(wire.Status) >= len(announcedStatuses) || wire.Liveness > failed || wire.Version > maxVersion {
		return nil, &DecodeError{Reason: "bad role, status, verdict or version"}
	}
	zoneID, err := zone.Parse(wire.Zone)
	if err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(wire.Address); err != nil || !address.IsValid() || address.Addr().Zone() != "" {
		return nil, &DecodeError{Reason: "bad address"}
	}
	r := &memberRecord{liveness: wire.Liveness, member: view.Member{
		VM: vm.ID(wire.VM), Role: wireRoles[wire.Role], Zone: zoneID, Service: service.Name(wire.Service), Address: address,
		Incarnation: vm.Incarnation(wire.Incarnation), Status: announcedStatuses[wire.Status], Version: wire.Version,
	}}
	if wire.WarmUpUntil != 0 {
		r.member.WarmUpUntil = time.Unix(wire.WarmUpUntil, 0)
	}
	copy(r.observers[:], wire.Observers)
	return r, nil
}
