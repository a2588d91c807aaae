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
	// MaxOverhead bounds the bytes that a frame adds to an IP packet.
	MaxOverhead = 140
	// tagCoveredBytes is the length of the start of an IP packet that the tag
	// authenticates: the largest IP and transport headers without extension
	// headers. The rest of the payload is protected against corruption by the
	// checksum of the packet.
	tagCoveredBytes = 96

	// prefixBytes is the length of version, kind and header length.
	prefixBytes     = 3
	packetTagBytes  = 8
	messageTagBytes = 16
)

// Secret is the key material of one key id of the cluster.
type Secret struct {
	// K0 and K1 are the SipHash key for the tags of IP packets.
	K0, K1 uint64
	// MAC is the HMAC-SHA256 key for the tags of messages.
	MAC [32]byte
}

// Keys holds the valid secrets of the cluster. During a key rotation there are
// two of them.
type Keys struct {
	// Current is the key id whose secret Seal uses. Open accepts all Secrets.
	Current uint8
	// Secrets holds the valid secrets by key id.
	Secrets map[uint8]Secret
}

// Reason is the cause for which a frame is rejected, and the name of its counter.
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

// The errors are allocated once, so that a flood of invalid frames allocates no
// memory.
var (
	errTruncated  = &Error{Reason: Truncated}
	errBadVersion = &Error{Reason: BadVersion}
	errBadHeader  = &Error{Reason: BadHeader}
	errUnknownKey = &Error{Reason: UnknownKey}
	errBadTag     = &Error{Reason: BadTag}
)

// Seal appends a frame to dst and returns the extended slice. The layout is
// version, kind, header length, header, tag, body. It sets the key id in h.
func (k *Keys) Seal(dst []byte, h *Header, body []byte) ([]byte, error) {
	secret, ok := k.Secrets[k.Current]
	if !ok {
		return dst, errUnknownKey
	}
	h.KeyID = k.Current
	frameStart := len(dst)
	dst = append(dst, Version, byte(h.Kind), 0)
	dst, err := appendEncodedHeader(dst, h)
	if err != nil {
		return dst[:frameStart], err
	}
	dst[frameStart+prefixBytes-1] = byte(len(dst) - frameStart - prefixBytes)
	dst = appendTag(dst, &secret, h.Kind, dst[frameStart:], body)
	return append(dst, body...), nil
}

func appendEncodedHeader(dst []byte, h *Header) ([]byte, error) {
	if h.Kind == KindPacket {
		return h.MarshalMsg(dst)
	}
	messageHeader := MessageHeader{KeyID: h.KeyID}
	return messageHeader.MarshalMsg(dst)
}

// decodeHeader fills h from the encoded header of a frame of the given kind.
func decodeHeader(h *Header, kind Kind, encoded []byte) error {
	var remaining []byte
	var err error
	if kind == KindPacket {
		remaining, err = h.UnmarshalMsg(encoded)
	} else {
		var messageHeader MessageHeader
		remaining, err = messageHeader.UnmarshalMsg(encoded)
		*h = Header{KeyID: messageHeader.KeyID}
	}
	if err != nil || len(remaining) != 0 {
		return errBadHeader
	}
	h.Kind = kind
	return nil
}

// Open authenticates a frame, fills h and returns the body, which is part of
// sealed.
func (k *Keys) Open(sealed []byte, h *Header) ([]byte, error) {
	if len(sealed) < prefixBytes {
		return nil, errTruncated
	}
	if sealed[0] != Version {
		return nil, errBadVersion
	}
	kind, headerEnd := Kind(sealed[1]), prefixBytes+int(sealed[2])
	tagSize := tagLength(kind)
	if tagSize == 0 {
		return nil, errBadHeader
	}
	if len(sealed) < headerEnd+tagSize {
		return nil, errTruncated
	}
	if err := decodeHeader(h, kind, sealed[prefixBytes:headerEnd]); err != nil {
		return nil, err
	}
	secret, ok := k.Secrets[h.KeyID]
	if !ok {
		return nil, errUnknownKey
	}
	body := sealed[headerEnd+tagSize:]
	if !isValidTag(&secret, kind, sealed[:headerEnd], sealed[headerEnd:headerEnd+tagSize], body) {
		return nil, errBadTag
	}
	return body, nil
}

func isValidTag(secret *Secret, kind Kind, header, tag, body []byte) bool {
	if kind == KindPacket {
		expected := packetTag(secret, header, body)
		received := binary.BigEndian.Uint64(tag)
		return subtle.ConstantTimeEq(int32(expected>>32), int32(received>>32))&subtle.ConstantTimeEq(int32(expected), int32(received)) == 1
	}
	return hmac.Equal(messageTag(secret, header, body), tag)
}

// tagLength returns the length of the tag in bytes, or 0 for an unknown kind.
func tagLength(kind Kind) int {
	switch kind {
	case KindPacket:
		return packetTagBytes
	case KindPeer, KindGossip:
		return messageTagBytes
	}
	return 0
}

func appendTag(dst []byte, secret *Secret, kind Kind, header, body []byte) []byte {
	if kind == KindPacket {
		return binary.BigEndian.AppendUint64(dst, packetTag(secret, header, body))
	}
	return append(dst, messageTag(secret, header, body)...)
}

// messageTag returns the truncated HMAC-SHA256 of the header and the body.
func messageTag(secret *Secret, header, body []byte) []byte {
	// A slice of secret.MAC itself would move the secret to the heap, also for
	// frames with IP packets.
	key := secret.MAC
	mac := hmac.New(sha256.New, key[:])
	mac.Write(header)
	mac.Write(body)
	return mac.Sum(nil)[:messageTagBytes]
}

// packetTag returns the SipHash of the header and the start of the body.
func packetTag(secret *Secret, header, body []byte) uint64 {
	var covered [MaxOverhead + tagCoveredBytes]byte
	length := copy(covered[:], header)
	length += copy(covered[length:], body[:min(len(body), tagCoveredBytes)])
	return siphash.Hash(secret.K0, secret.K1, covered[:length])
}
