package peer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// largestKey returns a flow key with the longest encoding.
func largestKey() flow.Key {
	address := netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	return flow.Key{Caller: address, Virtual: address, Protocol: 17}
}

// Guards against messages that do not fit into one datagram when every field has
// its longest encoding.
func TestLargestMessagesFitIntoOneFrame(t *testing.T) {
	const maxInt64 = 1<<63 - 1
	flowRecords := make([]FlowRecord, MaxFlowsPerMessage)
	flowKeys := make([]flow.Key, MaxFlowsPerMessage)
	for i := range flowRecords {
		flowKeys[i] = largestKey()
		flowRecords[i] = FlowRecord{
			Key: flowKeys[i], Alias: flowKeys[i].Caller, Phase: flow.Closing, HoldsSlot: true,
			Incarnation: maxInt64, OpenedAt: maxInt64, PayloadDelivered: true,
		}
	}
	missingParts := make([]uint32, 100)
	for i := range missingParts {
		missingParts[i] = 1<<32 - 1
	}
	summaries := make([]ShardSummary, MaxShardsPerMessage)
	for i := range summaries {
		summaries[i] = ShardSummary{Number: 63, Count: 1<<32 - 1, Digest: 1<<64 - 1}
	}
	longestName := vm.ID("a-name-of-a-virtual-machine-as-long-as-dns-allows-it-to-be-63-c")
	for _, m := range []Message{
		{Register: &Register{Holder: longestName, Incarnation: maxInt64, Flows: flowRecords}},
		{RecoverResponse: &RecoverResponse{From: longestName, Part: 1<<32 - 1, Flows: flowRecords, More: true, Incarnation: maxInt64}},
		{Unregister: &Unregister{Holder: longestName, Incarnation: maxInt64, Flows: flowKeys, OpenedBefore: maxInt64}},
		{RecoverRequest: &RecoverRequest{Holder: longestName, Incarnation: maxInt64, Missing: missingParts}},
		{RenewRequest: &RenewRequest{Holder: longestName, Incarnation: maxInt64, ShardSummaries: summaries}},
		{RenewResponse: &RenewResponse{From: longestName, Incarnation: maxInt64, DifferingShards: make([]uint8, MaxShardsPerMessage)}},
	} {
		body, err := Encode(&m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(body), MaxMessageBytes)
		decoded, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, &m, decoded)
	}
}

// Guards against invalid messages that are accepted.
func TestDecodeRejectsInvalidMessages(t *testing.T) {
	twoMessages, err := Encode(&Message{Hint: &Hint{}, LoadReport: &LoadReport{}})
	require.NoError(t, err)
	for _, body := range [][]byte{nil, {0xff}, make([]byte, MaxMessageBytes+1), {0xa0}, twoMessages} {
		_, err := Decode(body)
		require.Error(t, err)
	}
}
