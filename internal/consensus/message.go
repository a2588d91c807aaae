package consensus

import "bramleyhold.example/bramleyhold/internal/vm"

// Message goes from one replica to another. Exactly one body is set. Messages
// may be lost, duplicated, delayed and reordered.
type Message struct {
	Cluster uint64  `cbor:"1,keyasint,omitempty"`
	From    Replica `cbor:"2,keyasint"`
	// To is an exact identity, except for joins, whose incarnation is zero.
	To   Replica `cbor:"3,keyasint"`
	Term uint64  `cbor:"4,keyasint,omitempty"`

	Vote      *VoteRequest     `cbor:"5,keyasint,omitempty"`
	Voted     *VoteResponse    `cbor:"6,keyasint,omitempty"`
	Append    *AppendRequest   `cbor:"7,keyasint,omitempty"`
	Appended  *AppendResponse  `cbor:"8,keyasint,omitempty"`
	Install   *SnapshotRequest `cbor:"9,keyasint,omitempty"`
	TakeOver  *TakeOver        `cbor:"10,keyasint,omitempty"`
	Join      *JoinRequest     `cbor:"11,keyasint,omitempty"`
	JoinReply *JoinResponse    `cbor:"12,keyasint,omitempty"`
}

// VoteRequest asks for a vote. A pre-vote asks whether a vote would be granted
// and changes nothing at the receiver.
type VoteRequest struct {
	Pre       bool   `cbor:"1,keyasint,omitempty"`
	LastIndex uint64 `cbor:"2,keyasint"`
	LastTerm  uint64 `cbor:"3,keyasint"`
	// Transfer is set when the leader asked the candidate to take over.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteResponse answers VoteRequest.
type VoteResponse struct {
	Pre     bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// AppendRequest brings entries, and without entries is a heartbeat.
type AppendRequest struct {
	PrevIndex uint64  `cbor:"1,keyasint"`
	PrevTerm  uint64  `cbor:"2,keyasint"`
	Entries   []Entry `cbor:"3,keyasint,omitempty"`
	Commit    uint64  `cbor:"4,keyasint"`
	// Round is echoed in the response and confirms reads.
	Round uint64 `cbor:"5,keyasint,omitempty"`
}

// AppendResponse answers AppendRequest and SnapshotRequest.
type AppendResponse struct {
	Rejected bool `cbor:"1,keyasint,omitempty"`
	// Match is the last index known to equal the leader's log.
	Match uint64 `cbor:"2,keyasint,omitempty"`
	// PrevIndex and Hint are set on rejection: the rejected position and the
	// last index that may match.
	PrevIndex uint64 `cbor:"3,keyasint,omitempty"`
	Hint      uint64 `cbor:"4,keyasint,omitempty"`
	Round     uint64 `cbor:"5,keyasint,omitempty"`
}

// SnapshotRequest brings a snapshot to a follower that needs compacted entries.
type SnapshotRequest struct {
	Snapshot Snapshot `cbor:"1,keyasint"`
	Round    uint64   `cbor:"2,keyasint,omitempty"`
}

// TakeOver asks a caught-up voter to start an election at once.
type TakeOver struct{}

// JoinRequest comes from a replica that belongs to no cluster yet, or that is
// not a voter and hears from no leader.
type JoinRequest struct{}

// JoinResponse answers JoinRequest.
type JoinResponse struct {
	// Blank is set by a replica that belongs to no cluster.
	Blank bool `cbor:"1,keyasint,omitempty"`
	// Observer is set by a process without a disk, which takes no part.
	Observer bool `cbor:"3,keyasint,omitempty"`
	// Known is the incarnation of the asking VM in the configuration.
	Known vm.Incarnation `cbor:"2,keyasint,omitempty"`
}
