package consensus

import (
	"fmt"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// ReplicaID is the identity under which a replica votes, acknowledges entries and
// is listed in a Configuration. It is stored on the replica's disk. If the disk is
// wiped, the replica gets a new incarnation and therefore a new identity. Votes and
// acknowledgements given under the previous identity do not count for the new one.
type ReplicaID struct {
	VM          vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
}

func (r ReplicaID) String() string { return fmt.Sprintf("%s/%d", r.VM, r.Incarnation) }

// Configuration is the membership of a cluster. Learners receive the log, but
// they do not vote and do not count towards a majority.
type Configuration struct {
	Voters   []ReplicaID `cbor:"1,keyasint"`
	Learners []ReplicaID `cbor:"2,keyasint,omitempty"`
}

// FindVM returns the replica of a VM in the configuration.
func (c Configuration) FindVM(id vm.ID) (ReplicaID, bool) {
	for _, r := range c.replicas() {
		if r.VM == id {
			return r, true
		}
	}
	return ReplicaID{}, false
}

func (c Configuration) replicas() []ReplicaID { return slices.Concat(c.Voters, c.Learners) }

func (c Configuration) isVoter(r ReplicaID) bool { return slices.Contains(c.Voters, r) }

func (c Configuration) isLearner(r ReplicaID) bool { return slices.Contains(c.Learners, r) }

func (c Configuration) quorum() int { return len(c.Voters)/2 + 1 }

// withoutVM returns a copy of the configuration without the replicas of a VM.
func (c Configuration) withoutVM(id vm.ID) Configuration {
	isOfVM := func(r ReplicaID) bool { return r.VM == id }
	return Configuration{
		Voters:   slices.DeleteFunc(slices.Clone(c.Voters), isOfVM),
		Learners: slices.DeleteFunc(slices.Clone(c.Learners), isOfVM),
	}
}

// withLearner returns a copy of the configuration in which a replica is a learner.
func (c Configuration) withLearner(r ReplicaID) Configuration {
	next := c.withoutVM(r.VM)
	next.Learners = append(next.Learners, r)
	return next
}

// EntryKind is the type of the content of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	// KindNoOp is an entry without data. A leader appends it when its term begins.
	// Its commit also commits the entries of earlier terms.
	KindNoOp EntryKind = iota
	KindCommand
	KindConfiguration
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Kind          EntryKind      `cbor:"3,keyasint,omitempty"`
	Data          []byte         `cbor:"4,keyasint,omitempty"`
	Configuration *Configuration `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the applied state that replaces all entries up to and including
// Index.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint"`
}

// HardState is the state of a replica besides the log and the snapshot. It must
// be on disk before any message that depends on it is sent.
type HardState struct {
	Self ReplicaID `cbor:"1,keyasint"`
	// ClusterID was generated when the cluster was bootstrapped. It is zero until
	// this replica has bootstrapped the cluster, has granted a vote that is not a
	// pre-vote, or has received entries, a heartbeat or a snapshot from a leader.
	ClusterID uint64    `cbor:"2,keyasint,omitempty"`
	Term      uint64    `cbor:"3,keyasint,omitempty"`
	VotedFor  ReplicaID `cbor:"4,keyasint,omitempty"`
	// CommitIndex is stored so that a restarted replica serves at least the
	// revision that it served before the restart.
	CommitIndex uint64 `cbor:"5,keyasint,omitempty"`
}

// RestoredState is the state read from disk at start. All fields are zero if the
// disk is empty.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Options are the fixed parameters of a Core.
type Options struct {
	// Self is the identity of this replica. Its incarnation is used only if the
	// disk is empty. Otherwise the stored identity is used.
	Self ReplicaID
	// Peers are the VMs that take part in the bootstrap, including this one.
	Peers []vm.ID
	// NoBootstrap prevents this replica from bootstrapping a cluster. It is set if
	// the cluster has been bootstrapped before. An empty disk then means that the
	// disk was lost or that the VM is new.
	NoBootstrap bool
	// TargetVoters is the number of voters that the leader maintains while
	// enough replicas are reachable. If it is above zero, VMs that are not in the
	// configuration may join as learners. If it is zero, only VMs of the
	// configuration are admitted, with a new incarnation after the loss of the disk.
	TargetVoters int
	// MaxVoters bounds the voters that the leader adds beyond TargetVoters while more
	// replicas are eligible. If it is at most TargetVoters, none are added. While a voter is
	// exchanged for one of another zone, there may be one more.
	MaxVoters int
	// MaxZoneLosses is the number of availability zones whose loss at the same time must
	// leave a majority. If it is zero, zones do not matter.
	MaxZoneLosses int
	// ReplaceVoterAfter is the time without a response from a voter after which it
	// becomes a learner, if an eligible learner can replace it or if TargetVoters others
	// remain. It is used only if TargetVoters is above zero.
	ReplaceVoterAfter time.Duration
	// ElectionTimeout is the shortest time without contact from a leader before
	// a voter starts an election. The actual time is random between one and two
	// times this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between the heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxBatchBytes bounds the size of the entries in one AppendRequest. A
	// single larger entry is sent alone.
	MaxBatchBytes int
	// MaxInflightBatches bounds the unacknowledged AppendRequests with entries
	// per follower.
	MaxInflightBatches int
	// MaxUncommittedBytes bounds the size of the uncommitted commands. It limits the
	// memory use of a leader that cannot reach a majority. A proposal that would
	// exceed the limit fails with UncommittedLimitError. If there are no uncommitted
	// bytes, one proposal of any size is accepted.
	MaxUncommittedBytes int
}

// DefaultOptions returns options that suit replicas spread over two regions.
func DefaultOptions(self ReplicaID, peers []vm.ID) Options {
	return Options{
		Self:                self,
		Peers:               peers,
		ElectionTimeout:     time.Second,
		HeartbeatInterval:   200 * time.Millisecond,
		MaxBatchBytes:       256 << 10,
		MaxInflightBatches:  8,
		MaxUncommittedBytes: 16 << 20,
	}
}

// Output is the work for the owner of a Core. The package comment defines the
// order in which its parts must be processed.
type Output struct {
	HardState *HardState
	// Snapshot replaces the stored snapshot. If it is set, Entries is the whole
	// log after the snapshot.
	Snapshot *Snapshot
	// InstallSnapshot is set if the snapshot came from a leader. The applied state
	// must then be replaced by it.
	InstallSnapshot bool
	// Entries replace the stored log from the index of the first entry on.
	Entries  []Entry
	Messages []Message
	// Committed are the newly committed entries in the order of their index.
	Committed []Entry
	Reads     []ReadResult
	// InconsistencyError is set if received state contradicts the committed log or
	// the rules of Raft. The replica must then stop without processing the rest of
	// the output.
	InconsistencyError error
}

// IsEmpty reports whether the owner has nothing to do for this output.
func (o *Output) IsEmpty() bool {
	return o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0 && o.InconsistencyError == nil
}

// ReadResult completes the Read with the same ID. The read may be served from
// any state that has applied the entry at Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	// LeadershipLost is set if this replica lost leadership before a majority
	// confirmed the read. The read must then not be served.
	LeadershipLost bool
}

// LogPosition is the index and term at which a proposal was appended. The
// proposal is committed if the entry committed at Index has the same Term. If
// that entry has another term, the proposal was lost.
type LogPosition struct {
	Index uint64
	Term  uint64
}

// NotLeaderError reports a request to a replica that is not the leader, or that
// is transferring leadership.
type NotLeaderError struct {
	Leader ReplicaID
}

func (e *NotLeaderError) Error() string {
	if e.Leader == (ReplicaID{}) {
		return "this replica is not the leader and knows none"
	}
	return fmt.Sprintf("this replica is not the leader; the leader is %s", e.Leader.VM)
}

// UncommittedLimitError rejects a proposal that would exceed MaxUncommittedBytes.
// It is returned only if other commands are uncommitted. Otherwise a proposal of any
// size is accepted.
type UncommittedLimitError struct {
	UncommittedBytes int
}

func (e *UncommittedLimitError) Error() string {
	return fmt.Sprintf("%d bytes are waiting to be committed", e.UncommittedBytes)
}

// InconsistentStateError reports stored or received state that contradicts the
// committed log or the rules of Raft.
type InconsistentStateError struct {
	Reason string
}

func (e *InconsistentStateError) Error() string {
	return "consensus state is inconsistent: " + e.Reason
}
