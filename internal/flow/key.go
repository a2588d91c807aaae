// Package flow defines the key, the keyed hash and the phase of a flow. A flow is
// a TCP connection, or the datagrams between one caller address and one virtual
// address.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
)

// Key identifies a flow by the address of the caller and the virtual address of
// the service.
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
// secret and compute the same hashes. Callers do not have the secret, so they
// cannot select ports whose flows all go to one upstream.
type Hasher struct {
	K0, K1 uint64
}

// encodedKeyBytes is the length of two addresses with ports and a protocol
// number.
const encodedKeyBytes = 16 + 2 + 16 + 2 + 1

// Hash returns the keyed hash of a flow key.
func (h Hasher) Hash(key Key) uint64 {
	var encoded [encodedKeyBytes]byte
	caller, virtual := key.Caller.Addr().As16(), key.Virtual.Addr().As16()
	copy(encoded[0:16], caller[:])
	binary.BigEndian.PutUint16(encoded[16:], key.Caller.Port())
	copy(encoded[18:34], virtual[:])
	binary.BigEndian.PutUint16(encoded[34:], key.Virtual.Port())
	encoded[36] = key.Protocol
	return siphash.Hash(h.K0, h.K1, encoded[:])
}
