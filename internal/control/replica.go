package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// inboxSize bounds received messages that wait for the replica; more are
	// dropped, which the protocol tolerates.
	inboxSize = 1024
	// maxBatch bounds the requests and messages that share one sync.
	maxBatch = 256
	// compactBytes is the size of the log file at which it is replaced by a
	// snapshot, whatever the number of entries is.
	compactBytes = 16 << 20
)

// errLost reports a request whose leader changed before the outcome was known.
var errLost = errors.New("leadership ended before the outcome was known")

// errStopped reports a request to a replica that has stopped.
var errStopped = errors.New("the replica has stopped")

// published is the visible state of a replica.
type published struct {
	machine       *machine
	role          consensus.Role
	leader        consensus.Replica
	self          consensus.Replica
	term          uint64
	commit        uint64
	applied       uint64
	configuration consensus.Configuration
	// changed is closed when a newer view has been published.
	changed chan struct{}
}

type proposal struct {
	command []byte
	answer  chan<- outcome
}

type outcome struct {
	result intent.Result
	err    error
}

type waiter struct {
	term   uint64
	answer chan<- outcome
}

type finished struct {
	answer  chan<- outcome
	outcome outcome
}

// replica runs a consensus core with its store in one goroutine.
type replica struct {
	core    *consensus.Core
	store   *logstore.Store
	machine *machine
	applied uint64
	send    func([]consensus.Message)
	// compactEntries is the number of applied entries at which the log is
	// replaced by a snapshot.
	compactEntries uint64
	observe        func(previous, current *published)

	inbox     chan consensus.Message
	proposals chan proposal
	reads     chan chan<- outcome
	transfers chan struct{}
	contacts  chan []vm.ID
	stopped   chan struct{}

	waiters map[uint64]waiter
	// finished holds answers that are sent after the state they refer to has
	// been published.
	finished []finished
	readers  map[uint64]chan<- outcome
	lastRead uint64
	current  atomic.Pointer[published]
}

type replicaOptions struct {
	consensus consensus.Options
	files     logstore.FileSystem
	send      func([]consensus.Message)
	observe   func(previous, current *published)
	random    *rand.Rand

	compactEntries uint64
}

func newReplica(options replicaOptions) (*replica, error) {
	store, restored, err := logstore.Open(options.files)
	if err != nil {
		return nil, err
	}
	m, err := decodeMachine(restored.Snapshot.Data)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	core, err := consensus.New(options.consensus, restored, time.Now(), options.random)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	r := &replica{
		core: core, store: store, machine: m, applied: restored.Snapshot.Index,
		send: options.send, observe: options.observe,
		compactEntries: options.compactEntries, inbox: make(chan consensus.Message, inboxSize), proposals: make(chan proposal, maxBatch),
		reads: make(chan chan<- outcome, maxBatch), transfers: make(chan struct{}, 1), contacts: make(chan []vm.ID, 1),
		stopped: make(chan struct{}), waiters: map[uint64]waiter{}, readers: map[uint64]chan<- outcome{},
	}
	// What was committed before the restart is applied before the first
	// request, so that the served revision never goes back.
	if err := r.process(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

func (r *replica) view() *published { return r.current.Load() }

// deliver hands a received message to the replica.
func (r *replica) deliver(m consensus.Message) bool {
	select {
	case r.inbox <- m:
		return true
	default:
		return false
	}
}

// run processes events until the context ends or the replica must stop.
func (r *replica) run(ctx context.Context) error {
	err := r.loop(ctx)
	close(r.stopped)
	return errors.Join(err, r.store.Close())
}

func (r *replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		timer.Reset(max(r.core.Deadline(now).Sub(now), 0))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case m := <-r.inbox:
			r.core.Receive(time.Now(), m)
		case p := <-r.proposals:
			r.propose(p)
		case answer := <-r.reads:
			r.read(answer)
		case <-r.transfers:
			r.core.TransferLeadership(time.Now())
		case contacts := <-r.contacts:
			r.core.SetJoinPeers(contacts)
		}
		r.takeMore()
		r.core.Tick(time.Now())
		if err := r.process(); err != nil {
			return err
		}
	}
}

// takeMore takes what is already waiting, so that it shares one sync.
func (r *replica) takeMore() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.core.Receive(time.Now(), m)
		case p := <-r.proposals:
			r.propose(p)
		case answer := <-r.reads:
			r.read(answer)
		default:
			return
		}
	}
}

func (r *replica) propose(p proposal) {
	position, err := r.core.Propose(p.command)
	if err != nil {
		p.answer <- outcome{err: err}
		return
	}
	r.waiters[position.Index] = waiter{term: position.Term, answer: p.answer}
}

func (r *replica) read(answer chan<- outcome) {
	r.lastRead++
	if err := r.core.Read(r.lastRead); err != nil {
		answer <- outcome{err: err}
		return
	}
	r.readers[r.lastRead] = answer
}

// process performs outputs until there is none, in the order that the
// consensus package requires.
func (r *replica) process() error {
	for {
		out := r.core.Output(time.Now())
		if out.Fault != nil {
			return out.Fault
		}
		if out.Empty() {
			r.publish()
			return nil
		}
		if err := r.store.Save(&out); err != nil {
			return err
		}
		r.send(out.Messages)
		r.core.Persisted(time.Now())
		if err := r.apply(&out); err != nil {
			return err
		}
		r.finishReads(out.Reads)
		r.answerFinished()
		if err := r.compact(); err != nil {
			return err
		}
	}
}

func (r *replica) apply(out *consensus.Output) error {
	if out.InstallSnapshot {
		m, err := decodeMachine(out.Snapshot.Data)
		if err != nil {
			return err
		}
		r.machine, r.applied = m, out.Snapshot.Index
	}
	for _, e := range out.Committed {
		result := intent.Result{}
		if e.Kind == consensus.KindCommand {
			next, answer, err := r.machine.apply(e.Data)
			if err != nil {
				return err
			}
			r.machine, result = next, answer
		}
		r.applied = e.Index
		if w, ok := r.waiters[e.Index]; ok && w.term == e.Term {
			delete(r.waiters, e.Index)
			r.finish(w.answer, outcome{result: result})
		}
	}
	r.failWaiters()
	return nil
}

// failWaiters answers requests that this replica can no longer finish. The
// caller asks the next leader, which knows the operation id if it was applied.
func (r *replica) failWaiters() {
	for index, w := range r.waiters {
		if r.core.Role() != consensus.Leader || w.term != r.core.Term() || index <= r.applied {
			delete(r.waiters, index)
			r.finish(w.answer, outcome{err: errLost})
		}
	}
}

func (r *replica) finishReads(results []consensus.ReadResult) {
	for _, result := range results {
		answer, ok := r.readers[result.ID]
		delete(r.readers, result.ID)
		switch {
		case !ok:
		case result.Lost:
			r.finish(answer, outcome{err: errLost})
		default:
			r.finish(answer, outcome{})
		}
	}
}

// finish queues an answer. Answer channels have room for one outcome.
func (r *replica) finish(answer chan<- outcome, o outcome) {
	r.finished = append(r.finished, finished{answer: answer, outcome: o})
}

func (r *replica) answerFinished() {
	if len(r.finished) == 0 {
		return
	}
	r.publish()
	for _, f := range r.finished {
		f.answer <- f.outcome
	}
	r.finished = nil
}

func (r *replica) compact() error {
	snapshot := r.core.Snapshot()
	if r.applied-snapshot.Index < r.compactEntries && r.store.Size() < compactBytes {
		return nil
	}
	if r.applied == snapshot.Index {
		return nil
	}
	data, err := r.machine.encode()
	if err != nil {
		return err
	}
	r.core.Compact(r.applied, data)
	return nil
}

// publish makes the current state visible to requests.
func (r *replica) publish() {
	previous := r.current.Load()
	next := &published{
		machine: r.machine, role: r.core.Role(), leader: r.core.Leader(), self: r.core.Self(),
		term: r.core.Term(), commit: r.core.Commit(), applied: r.applied,
		configuration: r.core.Configuration(), changed: make(chan struct{}),
	}
	if previous != nil && previous.machine == next.machine && previous.role == next.role && previous.leader == next.leader &&
		previous.term == next.term && previous.commit == next.commit && previous.applied == next.applied && previous.self == next.self {
		return
	}
	r.current.Store(next)
	if previous != nil {
		r.observe(previous, next)
		close(previous.changed)
	}
}
