package consensus

import (
	"fmt"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Replica is the identity under which a replica votes and acknowledges
// entries. A replica whose disk is empty gets a new incarnation and therefore
// a new identity; votes and entries of the old one never count for it.
type Replica struct {
	VM          vm.ID          `cbor:"1,keyasint"`
	Incarnation vm.Incarnation `cbor:"2,keyasint"`
}

func (r Replica) String() string { return fmt.Sprintf("%s/%d", r.VM, r.Incarnation) }

// Configuration is the set of replicas. Learners receive the log and neither
// vote nor count for a majority.
type Configuration struct {
	Voters   []Replica `cbor:"1,keyasint"`
	Learners []Replica `cbor:"2,keyasint,omitempty"`
}

// Find returns the replica of a VM in the configuration.
func (c Configuration) Find(id vm.ID) (Replica, bool) {
	for _, r := range c.all() {
		if r.VM == id {
			return r, true
		}
	}
	return Replica{}, false
}

func (c Configuration) all() []Replica { return slices.Concat(c.Voters, c.Learners) }

func (c Configuration) votes(r Replica) bool { return slices.Contains(c.Voters, r) }

func (c Configuration) learns(r Replica) bool { return slices.Contains(c.Learners, r) }

func (c Configuration) quorum() int { return len(c.Voters)/2 + 1 }

// without returns a copy without any replica of a VM.
func (c Configuration) without(id vm.ID) Configuration {
	other := func(r Replica) bool { return r.VM == id }
	return Configuration{
		Voters:   slices.DeleteFunc(slices.Clone(c.Voters), other),
		Learners: slices.DeleteFunc(slices.Clone(c.Learners), other),
	}
}

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// KindEmpty is the first entry of a leader; it commits earlier terms.
	KindEmpty EntryKind = iota
	KindCommand
	KindConfiguration
)

// Entry is one position of the log.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Kind          EntryKind      `cbor:"3,keyasint,omitempty"`
	Data          []byte         `cbor:"4,keyasint,omitempty"`
	Configuration *Configuration `cbor:"5,keyasint,omitempty"`
}

// Snapshot replaces all entries up to its index.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint"`
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Self Replica `cbor:"1,keyasint"`
	// Cluster is chosen at the first start of a cluster. It is zero until the
	// replica has voted or received an entry.
	Cluster uint64  `cbor:"2,keyasint,omitempty"`
	Term    uint64  `cbor:"3,keyasint,omitempty"`
	Vote    Replica `cbor:"4,keyasint,omitempty"`
	// Commit lets a restarted replica serve at least the revision that it
	// served before.
	Commit uint64 `cbor:"5,keyasint,omitempty"`
}

// RestoredState is what was read from disk. All fields are zero on an empty disk.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Options are the fixed parameters of a Core.
type Options struct {
	// Self names this VM. The incarnation is used on an empty disk only.
	Self Replica
	// Peers are the VMs of the first configuration, including this one.
	Peers []vm.ID
	// NoBootstrap keeps a blank replica from writing the first configuration. It
	// is set when the cluster was started before, so that this replica has
	// lost its disk or is new.
	NoBootstrap bool
	// TargetVoters opens the membership if it is above zero: VMs outside of the
	// first configuration may join, and the leader keeps this many voters as
	// long as enough replicas are reachable.
	TargetVoters int
	// ReplaceAfter is how long a voter may be silent before a caught-up learner
	// takes its place. It is used with TargetVoters only.
	ReplaceAfter time.Duration
	// ElectionTimeout is the shortest time without a leader before an election;
	// the actual time is random between one and two times this value.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// MaxBatchBytes bounds the entries of one message, except that a single
	// larger entry is sent alone.
	MaxBatchBytes int
	// MaxInflight bounds the unacknowledged messages with entries per follower.
	MaxInflight int
	// MaxUncommittedBytes bounds the proposals that a leader accepts ahead of
	// the commit index.
	MaxUncommittedBytes int
}

// DefaultOptions returns the options for replicas within two regions.
func DefaultOptions(self Replica, peers []vm.ID) Options {
	return Options{
		Self:                self,
		Peers:               peers,
		ElectionTimeout:     time.Second,
		Heartbeat:           200 * time.Millisecond,
		MaxBatchBytes:       256 << 10,
		MaxInflight:         8,
		MaxUncommittedBytes: 16 << 20,
	}
}

// Output is what the owner of a Core has to do; see the package comment for
// the order.
type Output struct {
	HardState *HardState
	// Snapshot replaces the stored snapshot; Entries is then the whole log
	// after it.
	Snapshot *Snapshot
	// InstallSnapshot is set when the state must be replaced by the snapshot.
	InstallSnapshot bool
	// Entries replace the stored log from the index of the first one.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
	// Fault is set when the replica must stop because its state contradicts
	// what the cluster has committed.
	Fault error
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0 && o.Fault == nil
}

// ReadResult answers Read. A state that has applied Index may serve the read.
type ReadResult struct {
	ID    uint64
	Index uint64
	// Lost is set when leadership ended before the read was confirmed.
	Lost bool
}

// LogPosition is where a proposal was appended. It is committed when the entry
// committed at Index has the same Term, and lost otherwise.
type LogPosition struct {
	Index uint64
	Term  uint64
}

// NotLeaderError reports a request to a replica that does not lead.
type NotLeaderError struct {
	Leader Replica
}

func (e *NotLeaderError) Error() string {
	if e.Leader == (Replica{}) {
		return "this replica is not the leader and knows none"
	}
	return fmt.Sprintf("this replica is not the leader; the leader is %s", e.Leader.VM)
}

// BusyError reports a proposal beyond the bound of uncommitted bytes.
type BusyError struct {
	Uncommitted int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes are waiting to be committed", e.Uncommitted)
}

// FaultError reports stored or received state that contradicts committed
// entries.
type FaultError struct {
	Reason string
}

func (e *FaultError) Error() string { return "consensus state is inconsistent: " + e.Reason }
