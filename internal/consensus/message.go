package consensus

import "bramleyhold.example/bramleyhold/internal/vm"

// Message is one Raft message between two replicas. Exactly one of the pointer
// fields is set. Messages may be lost, duplicated, delayed and reordered.
type Message struct {
	ClusterID uint64    `cbor:"1,keyasint,omitempty"`
	From      ReplicaID `cbor:"2,keyasint"`
	// To is the identity of the receiver. In a join request its incarnation is
	// zero, because a join request is addressed to a VM.
	To   ReplicaID `cbor:"3,keyasint"`
	Term uint64    `cbor:"4,keyasint,omitempty"`

	VoteRequest     *VoteRequest            `cbor:"5,keyasint,omitempty"`
	VoteResponse    *VoteResponse           `cbor:"6,keyasint,omitempty"`
	AppendRequest   *AppendRequest          `cbor:"7,keyasint,omitempty"`
	AppendResponse  *AppendResponse         `cbor:"8,keyasint,omitempty"`
	InstallSnapshot *InstallSnapshotRequest `cbor:"9,keyasint,omitempty"`
	TimeoutNow      *TimeoutNow             `cbor:"10,keyasint,omitempty"`
	JoinRequest     *JoinRequest            `cbor:"11,keyasint,omitempty"`
	JoinResponse    *JoinResponse           `cbor:"12,keyasint,omitempty"`
	LeaveRequest    *LeaveRequest           `cbor:"13,keyasint,omitempty"`
}

// VoteRequest is sent by a candidate to every other voter. As a pre-vote it
// requests whether a vote would be granted. A pre-vote does not change the state
// of the receiver.
type VoteRequest struct {
	PreVote      bool   `cbor:"1,keyasint,omitempty"`
	LastLogIndex uint64 `cbor:"2,keyasint"`
	LastLogTerm  uint64 `cbor:"3,keyasint"`
	// LeadershipTransfer is set if the leader started this election by
	// TimeoutNow. The receiver then votes even if it has a current leader.
	LeadershipTransfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteResponse is the response to VoteRequest.
type VoteResponse struct {
	PreVote bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// AppendRequest replicates entries to a follower. Without entries it is a
// heartbeat.
type AppendRequest struct {
	PrevLogIndex uint64  `cbor:"1,keyasint"`
	PrevLogTerm  uint64  `cbor:"2,keyasint"`
	Entries      []Entry `cbor:"3,keyasint,omitempty"`
	LeaderCommit uint64  `cbor:"4,keyasint"`
	// ReadRound is copied into the response. A majority of responses confirms the
	// reads of this round.
	ReadRound uint64 `cbor:"5,keyasint,omitempty"`
}

// AppendResponse is the response to AppendRequest and InstallSnapshotRequest.
type AppendResponse struct {
	Rejected bool `cbor:"1,keyasint,omitempty"`
	// MatchIndex is the last index up to which the log of the follower equals the
	// log of the leader, as far as the request shows.
	MatchIndex uint64 `cbor:"2,keyasint,omitempty"`
	// PrevLogIndex is set on rejection. It is the rejected PrevLogIndex of the
	// request.
	PrevLogIndex uint64 `cbor:"3,keyasint,omitempty"`
	// MatchHint is set on rejection. It is the last index at which the logs may
	// match.
	MatchHint uint64 `cbor:"4,keyasint,omitempty"`
	ReadRound uint64 `cbor:"5,keyasint,omitempty"`
}

// InstallSnapshotRequest sends a snapshot to a follower that lacks entries which
// the leader has already compacted.
type InstallSnapshotRequest struct {
	Snapshot  Snapshot `cbor:"1,keyasint"`
	ReadRound uint64   `cbor:"2,keyasint,omitempty"`
}

// TimeoutNow makes a voter start an election without waiting for its election
// timeout. A leader sends it to transfer leadership, once the voter has all entries
// of the leader's log.
type TimeoutNow struct{}

// JoinRequest requests admission to the cluster. It is sent by a replica that has
// received nothing from a leader recently. The sender is not a voter, or it may have
// been removed from the voters without having received that change.
type JoinRequest struct{}

// JoinResponse is the response to JoinRequest.
type JoinResponse struct {
	// NoCluster is set by a replica that does not belong to a cluster yet.
	NoCluster bool `cbor:"1,keyasint,omitempty"`
	// NoReplica is set by a control process without a disk. It runs no replica and
	// does not take part in the bootstrap.
	NoReplica bool `cbor:"3,keyasint,omitempty"`
	// ConfiguredIncarnation is the incarnation of the requesting VM in the latest
	// configuration. It is zero if it equals that of the request or if the VM is not
	// in the configuration.
	ConfiguredIncarnation vm.Incarnation `cbor:"2,keyasint,omitempty"`
}

// LeaveRequest is sent to the leader by a voter whose process is about to stop. The
// leader makes it a learner as soon as another replica can vote in its place.
type LeaveRequest struct{}
