package frame

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestKeys() *Keys {
	return &Keys{Current: 1, Secrets: map[uint8]Secret{1: {K0: 1, K1: 2, MAC: [32]byte{3}}}}
}

// newLargestHeader returns a header whose fields have their longest encoding.
func newLargestHeader(kind Kind) Header {
	return Header{Kind: kind, Hops: 2, Flags: FlagOpening.WithAttempts(MaxAttempts), Service: 7, Incarnation: 1 << 60, Epoch: 1 << 61, Tried: [MaxHops]uint32{1 << 31, 1 << 31, 1 << 31, 1 << 31, 1 << 31, 1 << 31, 1 << 31, 1 << 31}, Placement: 1 << 31, Origin: 1 << 62, Trace: Trace{High: 1 << 63, Low: 1 << 63, Span: 1 << 63}}
}

// Guards against an encoding that loses a field or exceeds MaxOverhead.
func TestSealOpenRoundTrip(t *testing.T) {
	for _, kind := range []Kind{KindPacket, KindPeer, KindGossip} {
		h, body := newLargestHeader(kind), bytes.Repeat([]byte{9}, 200)
		if kind != KindPacket {
			h = Header{Kind: kind}
		}
		sealed, err := newTestKeys().Seal(nil, &h, body)
		require.NoError(t, err)
		if kind == KindPacket {
			require.LessOrEqual(t, len(sealed)-len(body), MaxOverhead)
		}
		var got Header
		opened, err := newTestKeys().Open(sealed, &got)
		require.NoError(t, err)
		require.Equal(t, h, got)
		require.Equal(t, body, opened)
	}
}

// Guards against frames that are accepted although they were truncated or
// modified in transit.
func TestOpenRejects(t *testing.T) {
	h := newLargestHeader(KindPacket)
	validFrame, err := newTestKeys().Seal(nil, &h, bytes.Repeat([]byte{9}, 64))
	require.NoError(t, err)
	withFlippedBit := func(i int) []byte { b := bytes.Clone(validFrame); b[i] ^= 0x40; return b }
	otherKeys := newTestKeys()
	otherKeys.Secrets = map[uint8]Secret{2: {}}
	cases := map[string]struct {
		keys   *Keys
		input  []byte
		reason Reason
	}{
		"empty":            {newTestKeys(), nil, Truncated},
		"header truncated": {newTestKeys(), validFrame[:20], Truncated},
		"tag truncated":    {newTestKeys(), validFrame[:len(validFrame)-70], Truncated},
		"version":          {newTestKeys(), withFlippedBit(0), BadVersion},
		"header length":    {newTestKeys(), append([]byte{Version, byte(KindPacket), 3}, validFrame[3:]...), BadHeader},
		"body modified":    {newTestKeys(), withFlippedBit(len(validFrame) - 1), BadTag},
		"unknown key":      {otherKeys, validFrame, UnknownKey},
		"header modified":  {newTestKeys(), withFlippedBit(5), BadTag},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got Header
			_, err := c.keys.Open(c.input, &got)
			var rejected *Error
			require.True(t, errors.As(err, &rejected), "%v", err)
			require.Equal(t, c.reason, rejected.Reason)
		})
	}
}

func BenchmarkSealOpen(b *testing.B) {
	keys, body, buf := newTestKeys(), make([]byte, 1300), make([]byte, 0, 2048)
	h := newLargestHeader(KindPacket)
	b.ReportAllocs()
	for b.Loop() {
		sealed, _ := keys.Seal(buf[:0], &h, body)
		var got Header
		if _, err := keys.Open(sealed, &got); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzOpen guards against panics on arbitrary input.
func FuzzOpen(f *testing.F) {
	h := newLargestHeader(KindPacket)
	validFrame, _ := newTestKeys().Seal(nil, &h, []byte("body"))
	f.Add(validFrame)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var got Header
		_, _ = newTestKeys().Open(b, &got)
	})
}
