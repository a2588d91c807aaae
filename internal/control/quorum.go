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

// QuorumOptions are the parameters of a Quorum.
type QuorumOptions struct {
	Consensus consensus.Options
	// Files is the data folder. The quorum closes it.
	Files logstore.FileSystem
	// Send passes messages to other replicas. It must not block; messages may
	// be lost.
	Send func([]consensus.Message)
	// Changed is called in the goroutine of the replica after the state, the
	// role or the leader has changed. It must not block.
	Changed func(Standing)
	// CompactEntries is the number of entries after which the log is replaced
	// by a snapshot; zero is the default.
	CompactEntries uint64
	Random         *rand.Rand
}

// Standing is what a replica knows at one moment.
type Standing struct {
	State  *intent.State
	Role   consensus.Role
	Leader vm.ID
	Term   uint64
	Voters []consensus.Replica
}

// Quorum is one replica without a server of its own: the owner carries its
// messages and calls it in the same process.
type Quorum struct {
	replica *replica
}

// OpenQuorum reads the data folder. Run must be called to take part.
func OpenQuorum(options QuorumOptions) (*Quorum, error) {
	if options.CompactEntries == 0 {
		options.CompactEntries = defaultCompactEntries
	}
	observe := func(_, current *published) { options.Changed(current.standing()) }
	r, err := newReplica(replicaOptions{
		consensus: options.Consensus, files: options.Files, send: options.Send, observe: observe,
		compactEntries: options.CompactEntries, random: options.Random,
	})
	if err != nil {
		return nil, err
	}
	return &Quorum{replica: r}, nil
}

func (p *published) standing() Standing {
	return Standing{
		State: p.machine.State, Role: p.role, Leader: p.leader.VM, Term: p.term, Voters: p.configuration.Voters,
	}
}

// Run takes part until the context ends. It returns an error if the replica
// cannot go on, for example because its disk refuses a write.
func (q *Quorum) Run(ctx context.Context) error { return q.replica.run(ctx) }

// Standing returns the current state and role.
func (q *Quorum) Standing() Standing { return q.replica.view().standing() }

// Deliver passes a received message on. It reports whether there was room.
func (q *Quorum) Deliver(m consensus.Message) bool { return q.replica.deliver(m) }

// SetContacts names VMs that can be asked for admission besides the peers of
// the first configuration.
func (q *Quorum) SetContacts(ids []vm.ID) {
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
func (q *Quorum) Propose(ctx context.Context, change intent.Change) (intent.Result, error) {
	command, err := encodeCommand(change)
	if err != nil {
		return intent.Result{}, err
	}
	return q.replica.proposeHere(ctx, command)
}

// Read returns a state that includes everything that was committed before the
// call. This replica must lead.
func (q *Quorum) Read(ctx context.Context) (*intent.State, error) {
	if err := q.replica.readHere(ctx); err != nil {
		return nil, err
	}
	return q.replica.view().machine.State, nil
}

// HandOver asks another voter to lead and waits until it does.
func (q *Quorum) HandOver(ctx context.Context) {
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
