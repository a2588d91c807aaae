package control

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// RaftOptions are the parameters of a RaftNode.
type RaftOptions struct {
	Consensus consensus.Options
	// Files is the data folder. The quorum closes it.
	Files logstore.FileSystem
	// Send passes messages to other replicas. It must not block; messages may
	// be lost.
	Send func([]consensus.Message)
	// OnChange is called in the goroutine of the replica after the state, the
	// role or the leader has changed. It must not block.
	OnChange func(ReplicaState)
	// CompactEntries is the number of entries after which the log is replaced
	// by a snapshot; zero is the default.
	CompactEntries uint64
	Random         *rand.Rand
}

// ReplicaState is what a replica knows at one moment.
type ReplicaState struct {
	State  *intent.State
	Role   consensus.Role
	Leader vm.ID
	Term   uint64
	Voters []consensus.Replica
}

// RaftNode is one replica without a server of its own: the owner carries its
// messages and calls it in the same process.
type RaftNode struct {
	replica *replica
}

// OpenRaftNode reads the data folder. Run must be called to take part.
func OpenRaftNode(options RaftOptions) (*RaftNode, error) {
	if options.CompactEntries == 0 {
		options.CompactEntries = defaultCompactEntries
	}
	observe := func(_, current *published) { options.OnChange(current.standing()) }
	r, err := newReplica(replicaOptions{
		consensus: options.Consensus, files: options.Files, send: options.Send, observe: observe,
		compactEntries: options.CompactEntries, random: options.Random,
	})
	if err != nil {
		return nil, err
	}
	return &RaftNode{replica: r}, nil
}

func (p *published) standing() ReplicaState {
	return ReplicaState{
		State: p.machine.State, Role: p.role, Leader: p.leader.VM, Term: p.term, Voters: p.configuration.Voters,
	}
}

// Run takes part until the context ends. It returns an error if the replica
// cannot go on, for example because its disk refuses a write.
func (q *RaftNode) Run(ctx context.Context) error { return q.replica.run(ctx) }

// State returns the current state and role.
func (q *RaftNode) State() ReplicaState { return q.replica.view().standing() }

// Deliver passes a received message on. It reports whether there was room.
func (q *RaftNode) Deliver(m consensus.Message) bool { return q.replica.deliver(m) }

// SetJoinPeers names VMs that can be asked for admission besides the peers of
// the first configuration.
func (q *RaftNode) SetJoinPeers(ids []vm.ID) {
	select {
	case <-q.replica.contacts:
	default:
	}
	select {
	case q.replica.contacts <- ids:
	default:
	}
}

// Propose commits a change. This replica must lead.
func (q *RaftNode) Propose(ctx context.Context, change intent.Change) (intent.Result, error) {
	command, err := encodeCommand(change)
	if err != nil {
		return intent.Result{}, err
	}
	return q.replica.proposeHere(ctx, command)
}

// Read returns a state that includes everything that was committed before the
// call. This replica must lead.
func (q *RaftNode) Read(ctx context.Context) (*intent.State, error) {
	if err := q.replica.readHere(ctx); err != nil {
		return nil, err
	}
	return q.replica.view().machine.State, nil
}

// TransferLeadership asks another voter to lead and waits until it does.
func (q *RaftNode) TransferLeadership(ctx context.Context) {
	for {
		v := q.replica.view()
		if v.role != consensus.Leader || len(v.configuration.Voters) < 2 {
			return
		}
		q.replica.transfer()
		select {
		case <-ctx.Done():
			return
		case <-q.replica.stopped:
			return
		case <-v.changed:
		case <-time.After(handOverPoll):
		}
	}
}
