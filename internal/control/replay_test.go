package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
)

func desiredCommand(t require.TestingT, version uint64, document string, routes int) []byte {
	desired := &intent.DesiredState{
		Version: version, IdleTimeout: time.Second, Document: []byte(document), Services: []intent.DesiredService{{Name: "a"}},
	}
	for i := range routes {
		desired.Routes = append(desired.Routes, intent.Route{
			Name: fmt.Sprint("r-", i), Virtual: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Kind: intent.Idempotent, Timeout: time.Second, Backends: []intent.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	command, err := encodeCommand(intent.Change{Kind: intent.KindDesired, Desired: desired})
	require.NoError(t, err)
	return command
}

// The version must be found in commands of every size and kind, and nothing may be
// taken for a version that is none.
func TestPeekDesiredVersion(t *testing.T) {
	encode := func(change intent.Change) []byte {
		command, err := encodeCommand(change)
		require.NoError(t, err)
		return command
	}
	require.EqualValues(t, 7, peekDesiredVersion(desiredCommand(t, 7, "{}", 1)))
	compressed := desiredCommand(t, 1<<63+1, "{}", 2000)
	require.Equal(t, gzipMagic, compressed[:2])
	require.EqualValues(t, uint64(1<<63+1), peekDesiredVersion(compressed))
	require.Zero(t, peekDesiredVersion(encode(intent.Change{Kind: intent.KindDesired})))
	require.Zero(t, peekDesiredVersion(encode(intent.Change{OperationID: "desired", Operator: "version", BaseRevision: 3})))
	require.Zero(t, peekDesiredVersion(encode(intent.Change{Traffic: &intent.TrafficRule{Service: "desired"}, Desired: nil})))
	require.Zero(t, peekDesiredVersion(compressed[:10]))
	require.Zero(t, peekDesiredVersion(nil))
}

// Replicas that apply entries one by one and replicas that skip superseded ones must
// reach the same state, whatever the order of the versions.
func TestSkippedEntriesLeaveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []consensus.Entry
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			version := rapid.Uint64Range(1, 6).Draw(t, "version")
			document := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "document")
			entries = append(entries, consensus.Entry{Index: uint64(i + 1), Kind: consensus.KindCommand, Data: desiredCommand(t, version, document, 2)})
		}
		apply := func(versions []uint64) []byte {
			machine, err := decodeSnapshot(nil)
			require.NoError(t, err)
			for i, entry := range entries {
				if versions[i] > 0 {
					machine, _ = machine.applySuperseded(versions[i])
					continue
				}
				machine, _, err = machine.apply(entry.Data)
				require.NoError(t, err)
			}
			snapshot, err := machine.encodeSnapshot()
			require.NoError(t, err)
			return snapshot
		}
		require.Equal(t, apply(make([]uint64, len(entries))), apply(supersededVersions(entries)))
	})
}

// After a loss of power a replica must not decode every desired state of its log: 60 of
// them with 350 routes took 170 ms of a core, in which all openings were refused.
func TestSupersededEntriesAreNotDecoded(t *testing.T) {
	var entries []consensus.Entry
	for version := uint64(1); version <= 60; version++ {
		entries = append(entries, consensus.Entry{Index: version, Kind: consensus.KindCommand, Data: desiredCommand(t, version, "{}", 350)})
	}
	versions := supersededVersions(entries)
	for i, version := range versions[:59] {
		require.EqualValues(t, i+1, version)
	}
	require.Zero(t, versions[59])
}
