package peer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func largestKey() flow.Key {
	address := netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	return flow.Key{Caller: address, Virtual: address, Protocol: 17}
}

// Guards against messages that do not fit a datagram with the greatest values.
func TestLargestMessages(t *testing.T) {
	const most = 1<<63 - 1
	records := make([]FlowRecord, MaxFlowsPerMessage)
	keys := make([]flow.Key, MaxFlowsPerMessage)
	for i := range records {
		keys[i] = largestKey()
		records[i] = FlowRecord{
			Key: keys[i], Alias: keys[i].Caller, Phase: flow.Closing, HoldsSlot: true,
			Incarnation: most, OpenedAt: most, PayloadDelivered: true,
		}
	}
	missing := make([]uint32, 100)
	for i := range missing {
		missing[i] = 1<<32 - 1
	}
	buckets := make([]Bucket, MaxBucketsPerMessage)
	for i := range buckets {
		buckets[i] = Bucket{Number: 63, Count: 1<<32 - 1, Digest: 1<<64 - 1}
	}
	holder := vm.ID("a-name-of-a-virtual-machine-as-long-as-dns-allows-it-to-be-63-c")
	for _, m := range []Message{
		{Register: &Register{Holder: holder, Incarnation: most, Flows: records}},
		{RecoverResponse: &RecoverResponse{From: holder, Part: 1<<32 - 1, Flows: records, More: true, Incarnation: most}},
		{Unregister: &Unregister{Holder: holder, Incarnation: most, Flows: keys, OpenedBefore: most}},
		{RecoverRequest: &RecoverRequest{Holder: holder, Incarnation: most, Missing: missing}},
		{Renew: &Renew{Holder: holder, Incarnation: most, Buckets: buckets}},
		{RenewResponse: &RenewResponse{From: holder, Incarnation: most, MissingBuckets: make([]uint8, MaxBucketsPerMessage)}},
	} {
		body, err := Encode(&m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(body), MaxBodyBytes)
		decoded, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, &m, decoded)
	}
}

// Guards against malformed messages being taken for valid ones.
func TestDecodeRejects(t *testing.T) {
	two, err := Encode(&Message{Hint: &Hint{}, Load: &Load{}})
	require.NoError(t, err)
	for _, body := range [][]byte{nil, {0xff}, make([]byte, MaxBodyBytes+1), {0xa0}, two} {
		_, err := Decode(body)
		require.Error(t, err)
	}
}
