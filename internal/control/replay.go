package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"strconv"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// supersededVersions returns the version of the desired state in each entry that is
// superseded by a higher version in a later entry of the list, and zero for all other
// entries.
//
// Load pattern: a replica starts after a loss of power and applies dozens of desired
// states with hundreds of routes each, 3 ms of a whole core for every one. Balancers
// refuse all openings until it is done.
func supersededVersions(entries []consensus.Entry) []uint64 {
	versions := make([]uint64, len(entries))
	highest := uint64(0)
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Kind != consensus.KindCommand {
			continue
		}
		version := peekDesiredVersion(entries[i].Data)
		if version < highest {
			versions[i] = version
		}
		highest = max(highest, version)
	}
	return versions
}

// peekDesiredVersion returns the version of the desired state in a command without
// decoding the rest of it, or zero if the command has none.
func peekDesiredVersion(command []byte) uint64 {
	var content io.Reader = bytes.NewReader(command)
	if bytes.HasPrefix(command, gzipMagic) {
		uncompressed, err := gzip.NewReader(content)
		if err != nil {
			return 0
		}
		content = uncompressed
	}
	decoder := json.NewDecoder(content)
	decoder.UseNumber()
	// The fields before the version are few and short. A change of another kind has
	// none of the names.
	const maxTokens = 32
	previous := json.Token(nil)
	inDesired := false
	for range maxTokens {
		token, err := decoder.Token()
		if err != nil {
			return 0
		}
		if inDesired {
			if number, ok := token.(json.Number); ok && previous == "version" {
				version, err := strconv.ParseUint(number.String(), 10, 64)
				if err != nil {
					return 0
				}
				return version
			}
			if token != json.Delim('{') && token != "version" {
				return 0
			}
		}
		inDesired = inDesired || token == "desired" && previous != "kind"
		previous = token
	}
	return 0
}

// applySuperseded applies a desired state that a later entry supersedes. Its content is
// not decoded, since nothing of it remains in the state.
func (m *stateMachine) applySuperseded(version uint64) (*stateMachine, intent.Result) {
	return m.applyChange(intent.Change{Kind: intent.KindDesired, Desired: &intent.DesiredState{Version: version}}, 0)
}
