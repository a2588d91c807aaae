package frame

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"

	"github.com/dchest/siphash"
)

const (
	// Version is the first byte of every frame.
	Version = 1
	// MaxOverhead bounds the bytes that a data frame adds to a packet.
	MaxOverhead = 140
	// coveredBytes is how much of a data packet the tag covers: the largest
	// IP and transport headers without extension headers. The checksum of the
	// inner packet protects the payload against corruption.
	coveredBytes = 96

	// prefixBytes is version, kind and header length.
	prefixBytes    = 3
	packetTagBytes = 8
	peerTagBytes   = 16
)

// Secret is one key of the cluster.
type Secret struct {
	K0, K1 uint64
	MAC    [32]byte
}

// Keys are the valid secrets by key id. Current seals; both open.
type Keys struct {
	Current uint8
	Secrets map[uint8]Secret
}

// Reason says why a frame was dropped.
type Reason string

// The reasons for which Open rejects a frame.
const (
	Truncated  Reason = "truncated"
	BadVersion Reason = "bad_version"
	BadHeader  Reason = "bad_header"
	UnknownKey Reason = "unknown_key"
	BadTag     Reason = "bad_tag"
)

// Error reports a rejected frame.
type Error struct {
	Reason Reason
}

func (e *Error) Error() string { return fmt.Sprintf("frame rejected: %s", e.Reason) }

// The errors are allocated once, so that a flood of bad frames costs no memory.
var (
	errTruncated  = &Error{Reason: Truncated}
	errBadVersion = &Error{Reason: BadVersion}
	errBadHeader  = &Error{Reason: BadHeader}
	errUnknownKey = &Error{Reason: UnknownKey}
	errBadTag     = &Error{Reason: BadTag}
)

// Seal appends a frame to dst and returns it. The layout is version, kind,
// header length, header, tag, body.
func (k *Keys) Seal(dst []byte, h *Header, body []byte) ([]byte, error) {
	secret, ok := k.Secrets[k.Current]
	if !ok {
		return dst, errUnknownKey
	}
	h.KeyID = k.Current
	start := len(dst)
	dst = append(dst, Version, byte(h.Kind), 0)
	dst, err := appendHeader(dst, h)
	if err != nil {
		return dst[:start], err
	}
	dst[start+prefixBytes-1] = byte(len(dst) - start - prefixBytes)
	dst = appendTag(dst, &secret, h.Kind, dst[start:], body)
	return append(dst, body...), nil
}

func appendHeader(dst []byte, h *Header) ([]byte, error) {
	if h.Kind == KindPacket {
		return h.MarshalMsg(dst)
	}
	short := MessageHeader{KeyID: h.KeyID}
	return short.MarshalMsg(dst)
}

// readHeader fills h from the encoded header of a kind.
func readHeader(h *Header, kind Kind, b []byte) error {
	var rest []byte
	var err error
	if kind == KindPacket {
		rest, err = h.UnmarshalMsg(b)
	} else {
		var short MessageHeader
		rest, err = short.UnmarshalMsg(b)
		*h = Header{KeyID: short.KeyID}
	}
	if err != nil || len(rest) != 0 {
		return errBadHeader
	}
	h.Kind = kind
	return nil
}

// Open checks a frame, fills h and returns the body, which is part of b.
func (k *Keys) Open(b []byte, h *Header) ([]byte, error) {
	if len(b) < prefixBytes {
		return nil, errTruncated
	}
	if b[0] != Version {
		return nil, errBadVersion
	}
	kind, end := Kind(b[1]), prefixBytes+int(b[2])
	size := tagBytes(kind)
	if size == 0 {
		return nil, errBadHeader
	}
	if len(b) < end+size {
		return nil, errTruncated
	}
	if err := readHeader(h, kind, b[prefixBytes:end]); err != nil {
		return nil, err
	}
	secret, ok := k.Secrets[h.KeyID]
	if !ok {
		return nil, errUnknownKey
	}
	body := b[end+size:]
	if !validTag(&secret, kind, b[:end], b[end:end+size], body) {
		return nil, errBadTag
	}
	return body, nil
}

func validTag(s *Secret, kind Kind, header, tag, body []byte) bool {
	if kind == KindPacket {
		want := packetTag(s, header, body)
		got := binary.BigEndian.Uint64(tag)
		return subtle.ConstantTimeEq(int32(want>>32), int32(got>>32))&subtle.ConstantTimeEq(int32(want), int32(got)) == 1
	}
	return hmac.Equal(messageTag(s, header, body), tag)
}

func tagBytes(kind Kind) int {
	switch kind {
	case KindPacket:
		return packetTagBytes
	case KindPeer, KindGossip:
		return peerTagBytes
	}
	return 0
}

func appendTag(dst []byte, s *Secret, kind Kind, header, body []byte) []byte {
	if kind == KindPacket {
		return binary.BigEndian.AppendUint64(dst, packetTag(s, header, body))
	}
	return append(dst, messageTag(s, header, body)...)
}

func messageTag(s *Secret, header, body []byte) []byte {
	// The copy keeps the secret of data frames off the heap.
	key := s.MAC
	mac := hmac.New(sha256.New, key[:])
	mac.Write(header)
	mac.Write(body)
	return mac.Sum(nil)[:peerTagBytes]
}

func packetTag(s *Secret, header, body []byte) uint64 {
	var covered [MaxOverhead + coveredBytes]byte
	n := copy(covered[:], header)
	n += copy(covered[n:], body[:min(len(body), coveredBytes)])
	return siphash.Hash(s.K0, s.K1, covered[:n])
}
