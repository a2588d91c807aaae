package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// leaveRetryInterval is the interval between requests to leave. It exceeds the time of
// two configuration changes between zones.
const leaveRetryInterval = 100 * time.Millisecond

// RaftOptions are the parameters of a RaftNode.
type RaftOptions struct {
	Consensus consensus.Options
	// Files is the data folder. The RaftNode closes it.
	Files logstore.FileSystem
	// Send sends messages to other replicas. It must not block. Messages may
	// be lost.
	Send func([]consensus.Message)
	// OnChange is called when the state, the role, the leader, the term, the
	// commit index or the applied index has changed. It runs in the goroutine
	// of the replica and must not block.
	OnChange func(ReplicaState)
	// CompactEntries is the number of applied entries at which a snapshot
	// replaces the log. 0 selects the default.
	CompactEntries uint64
	// MaxChangeBytes bounds the compressed size of a change. Larger ones are refused. 0
	// sets no bound.
	MaxChangeBytes int
	Random         *rand.Rand
}

// ChangeTooLargeError reports a change that is larger than RaftOptions.MaxChangeBytes.
type ChangeTooLargeError struct{ Bytes, Limit int }

func (e *ChangeTooLargeError) Error() string {
	return fmt.Sprintf("the change has %d bytes compressed, more than the limit of %d", e.Bytes, e.Limit)
}

// ReplicaState is the intent of a replica with its role and the group as the
// replica sees it.
type ReplicaState struct {
	State  *intent.State
	Role   consensus.Role
	Leader vm.ID
	Term   uint64
	// Voters and Learners are the members of the latest configuration in the log of the
	// replica.
	Voters   []consensus.ReplicaID
	Learners []consensus.ReplicaID
	// Self is the identity of the replica in the configuration.
	Self consensus.ReplicaID
	// SnapshotIndex is the index of the latest snapshot, Applied that of the latest applied
	// entry.
	SnapshotIndex, Applied uint64
}

// RaftNode is a Raft replica without a network server. Its owner transports
// the messages and calls the node in the same process.
type RaftNode struct {
	replica        *replica
	maxChangeBytes int
}

// OpenRaftNode restores a replica from its data folder. The replica takes no
// part in the group until Run is called.
func OpenRaftNode(options RaftOptions) (*RaftNode, error) {
	if options.CompactEntries == 0 {
		options.CompactEntries = defaultCompactEntries
	}
	onPublish := func(_, current *publishedState) { options.OnChange(current.replicaState()) }
	r, err := newReplica(replicaOptions{
		consensus: options.Consensus, files: options.Files, send: options.Send, onPublish: onPublish,
		compactEntries: options.CompactEntries, random: options.Random,
	})
	if err != nil {
		return nil, err
	}
	return &RaftNode{replica: r, maxChangeBytes: options.MaxChangeBytes}, nil
}

func (p *publishedState) replicaState() ReplicaState {
	return ReplicaState{
		State: p.stateMachine.State, Role: p.role, Leader: p.leader.VM, Term: p.term,
		Voters: p.configuration.Voters, Learners: p.configuration.Learners, Self: p.self, SnapshotIndex: p.snapshotIndex, Applied: p.applied,
	}
}

// Run runs the replica until the context ends. It returns an error if the
// replica cannot continue, for example after a failed disk write.
func (n *RaftNode) Run(ctx context.Context) error { return n.replica.run(ctx) }

// State returns the latest published state.
func (n *RaftNode) State() ReplicaState { return n.replica.published().replicaState() }

// Deliver queues a message from another replica. It returns false if the queue
// is full and the message was dropped.
func (n *RaftNode) Deliver(message consensus.Message) bool { return n.replica.enqueueMessage(message) }

// SetJoinPeers sets VMs that can admit this replica to the group, in addition
// to the peers of the initial configuration. A later call replaces an earlier
// one.
func (n *RaftNode) SetJoinPeers(ids []vm.ID) {
	select {
	case <-n.replica.joinPeers:
	default:
	}
	select {
	case n.replica.joinPeers <- ids:
	default:
	}
}

// SetZones sets the availability zones of the VMs with replicas, as far as they are known.
// The voters are chosen by them if consensus.Options.MaxZoneLosses is above zero. The map
// must not be changed afterwards. A later call replaces an earlier one.
func (n *RaftNode) SetZones(zones map[vm.ID]zone.ID) {
	select {
	case <-n.replica.zones:
	default:
	}
	select {
	case n.replica.zones <- zones:
	default:
	}
}

// EncodedChange is a change as it is written to the log.
type EncodedChange struct {
	change  intent.Change
	command []byte
}

// Size returns the number of bytes in the log.
func (e *EncodedChange) Size() int { return len(e.command) }

// EncodeChange encodes a change. A desired state of some thousand routes takes a large part
// of a second on a small VM.
func EncodeChange(change intent.Change) (*EncodedChange, error) {
	command, err := encodeCommand(change)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return &EncodedChange{change: change, command: command}, nil
}

// Propose commits a change through this replica, which must be the leader. It returns a
// *ChangeTooLargeError for a change that it refuses because of its size.
func (n *RaftNode) Propose(ctx context.Context, encoded *EncodedChange) (intent.Result, error) {
	if n.maxChangeBytes > 0 && encoded.Size() > n.maxChangeBytes {
		return n.refuseTooLarge(ctx, encoded)
	}
	return n.replica.submitProposal(ctx, encoded.command)
}

// refuseTooLarge returns the error for a change that is too large, unless it changes
// nothing: an earlier build may have accepted it.
func (n *RaftNode) refuseTooLarge(ctx context.Context, encoded *EncodedChange) (intent.Result, error) {
	state, err := n.Read(ctx)
	if err != nil {
		return intent.Result{}, err
	}
	next, result := intent.Apply(state, encoded.change)
	if next.Revision > state.Revision {
		return intent.Result{}, &ChangeTooLargeError{Bytes: encoded.Size(), Limit: n.maxChangeBytes}
	}
	return result, nil
}

// Read is a linearizable read: the returned state includes every change that
// was committed before the call. This replica must be the leader.
func (n *RaftNode) Read(ctx context.Context) (*intent.State, error) {
	if err := n.replica.readBarrier(ctx); err != nil {
		return nil, err
	}
	return n.replica.published().stateMachine.State, nil
}

// TransferLeadership transfers the leadership to another voter and waits for
// it. It returns at once if this replica is not the leader or is the only
// voter.
func (n *RaftNode) TransferLeadership(ctx context.Context) {
	for {
		state := n.replica.published()
		if state.role != consensus.Leader || len(state.configuration.Voters) < 2 {
			return
		}
		n.replica.requestTransfer()
		select {
		case <-ctx.Done():
			return
		case <-n.replica.stopped:
			return
		case <-state.changed:
		case <-time.After(transferRetryInterval):
		}
	}
}

// Leave requests that another replica vote in place of this one, and waits until the
// leader has made this replica a learner. It must be called after TransferLeadership,
// and returns at once if no other replica can take the place. It returns an error if the
// context ends or the replica stops while this replica is still a voter.
func (n *RaftNode) Leave(ctx context.Context) error {
	for {
		state := n.replica.published()
		mayBeReplaced := make(chan bool, 1)
		select {
		case n.replica.leaveRequests <- mayBeReplaced:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.replica.stopped:
			return errReplicaStopped
		}
		if !<-mayBeReplaced {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.replica.stopped:
			return errReplicaStopped
		case <-state.changed:
		case <-time.After(leaveRetryInterval):
		}
	}
}
