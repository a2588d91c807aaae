// Package flow identifies flows and keeps flow tables in shards.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
)

// Key identifies a flow by the addresses on the caller's side.
type Key struct {
	_ struct{} `cbor:",toarray"`

	Caller   netip.AddrPort `cbor:"1,keyasint" json:"caller"`
	Virtual  netip.AddrPort `cbor:"2,keyasint" json:"virtual"`
	Protocol uint8          `cbor:"3,keyasint" json:"protocol"`
}

func (k Key) String() string {
	return fmt.Sprintf("%s->%s/%d", k.Caller, k.Virtual, k.Protocol)
}

// Hasher computes keyed flow hashes. All processes of a cluster use the same
// secret, so that callers cannot choose ports that land on one upstream.
type Hasher struct {
	K0, K1 uint64
}

const keyBytes = 16 + 2 + 16 + 2 + 1

// Hash returns the keyed hash of a flow.
func (h Hasher) Hash(k Key) uint64 {
	var b [keyBytes]byte
	caller, virtual := k.Caller.Addr().As16(), k.Virtual.Addr().As16()
	copy(b[0:16], caller[:])
	binary.BigEndian.PutUint16(b[16:], k.Caller.Port())
	copy(b[18:34], virtual[:])
	binary.BigEndian.PutUint16(b[34:], k.Virtual.Port())
	b[36] = k.Protocol
	return siphash.Hash(h.K0, h.K1, b[:])
}
