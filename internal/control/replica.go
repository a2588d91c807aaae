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
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// inboxSize bounds the received messages that wait for processing.
	// Messages beyond it are dropped, which the consensus protocol tolerates.
	inboxSize = 1024
	// maxBatch bounds the requests and messages that share one disk sync. It
	// is also the queue length for proposals and for reads.
	maxBatch = 256
	// minCompactBytes and maxCompactBytes bound the size of the log file at which
	// a snapshot replaces it, even if it has fewer entries than compactEntries.
	minCompactBytes = 1 << 20
	maxCompactBytes = 16 << 20
	// compactSnapshots is the size of the log file, in snapshots, at which a
	// snapshot replaces it.
	compactSnapshots = 8
)

// compactBytes returns the size of the log file at which a snapshot replaces it,
// from the size of the latest snapshot.
//
// Load pattern: a replica with an empty disk gets the snapshot and the log after
// it. Entries of versioned desired states have the size of the whole state each,
// so that a bound of its own made the log a hundred times the size of the state.
// Each snapshot costs as much as a change, and two more files.
func compactBytes(snapshotBytes int) int64 {
	return max(minCompactBytes, min(int64(snapshotBytes)*compactSnapshots, maxCompactBytes))
}

// errLeadershipLost is returned for a request if the replica lost its
// leadership before the outcome of the request was known.
var errLeadershipLost = errors.New("leadership ended before the outcome was known")

// errReplicaStopped is returned for a request to a replica that has stopped.
var errReplicaStopped = errors.New("the replica has stopped")

// publishedState is the state of a replica that other goroutines can read. It
// is immutable.
type publishedState struct {
	stateMachine  *stateMachine
	role          consensus.Role
	leader        consensus.ReplicaID
	self          consensus.ReplicaID
	term          uint64
	commit        uint64
	applied       uint64
	snapshotIndex uint64
	configuration consensus.Configuration
	// changed is closed when a later state has been published.
	changed chan struct{}
}

// proposal is a command that waits to be appended to the log.
type proposal struct {
	command  []byte
	response chan<- requestResult
}

// requestResult is the result of a proposal or of a read barrier.
type requestResult struct {
	result intent.Result
	err    error
}

// pendingProposal is a proposal in the log that is not applied yet.
type pendingProposal struct {
	term     uint64
	response chan<- requestResult
}

// completedRequest is a request whose response has not been sent yet.
type completedRequest struct {
	response chan<- requestResult
	result   requestResult
}

// replica runs a consensus core with its log store. All fields except the
// channels and latest belong to the goroutine of run.
type replica struct {
	core         *consensus.Core
	store        *logstore.Store
	stateMachine *stateMachine
	applied      uint64
	send         func([]consensus.Message)
	// compactEntries is the number of applied entries at which a snapshot
	// replaces the log.
	compactEntries uint64
	onPublish      func(previous, current *publishedState)

	inbox            chan consensus.Message
	proposals        chan proposal
	readRequests     chan chan<- requestResult
	transferRequests chan struct{}
	// leaveRequests carries the channels that receive the result of
	// consensus.Core.RequestLeave.
	leaveRequests chan chan<- bool
	joinPeers     chan []vm.ID
	zones         chan map[vm.ID]zone.ID
	stopped       chan struct{}

	// pendingProposals are keyed by log index.
	pendingProposals map[uint64]pendingProposal
	// unapplied holds committed entries whose application waits for more of them,
	// and unappliedSince the time of the first one.
	unapplied      []consensus.Entry
	unappliedSince time.Time
	// completed holds responses until the state that they refer to has been
	// published.
	completed []completedRequest
	// pendingReads are keyed by read id.
	pendingReads map[uint64]chan<- requestResult
	lastReadID   uint64
	latest       atomic.Pointer[publishedState]
}

type replicaOptions struct {
	consensus consensus.Options
	files     logstore.FileSystem
	send      func([]consensus.Message)
	onPublish func(previous, current *publishedState)
	random    *rand.Rand

	compactEntries uint64
}

func newReplica(options replicaOptions) (*replica, error) {
	store, restored, err := logstore.Open(options.files)
	if err != nil {
		return nil, err
	}
	initialState, err := decodeSnapshot(restored.Snapshot.Data)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	core, err := consensus.New(options.consensus, restored, time.Now(), options.random)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	r := &replica{
		core: core, store: store, stateMachine: initialState, applied: restored.Snapshot.Index,
		send: options.send, onPublish: options.onPublish,
		compactEntries: options.compactEntries, inbox: make(chan consensus.Message, inboxSize), proposals: make(chan proposal, maxBatch),
		readRequests: make(chan chan<- requestResult, maxBatch), transferRequests: make(chan struct{}, 1), leaveRequests: make(chan chan<- bool), joinPeers: make(chan []vm.ID, 1),
		zones:   make(chan map[vm.ID]zone.ID, 1),
		stopped: make(chan struct{}), pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]chan<- requestResult{},
	}
	// Entries that were committed before the restart are applied before the
	// first request is served, so that the served revision does not decrease.
	if err := r.processOutput(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

func (r *replica) published() *publishedState { return r.latest.Load() }

// enqueueMessage queues a message from another replica. It returns false if
// the queue is full and the message was dropped.
func (r *replica) enqueueMessage(m consensus.Message) bool {
	select {
	case r.inbox <- m:
		return true
	default:
		return false
	}
}

// run processes messages and requests until the context ends or an error stops
// the replica. It closes the log store.
func (r *replica) run(ctx context.Context) error {
	err := r.eventLoop(ctx)
	close(r.stopped)
	return errors.Join(err, r.store.Close())
}

func (r *replica) eventLoop(ctx context.Context) error {
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
			r.handleProposal(p)
		case response := <-r.readRequests:
			r.handleRead(response)
		case <-r.transferRequests:
			r.core.TransferLeadership(time.Now())
		case mayBeReplaced := <-r.leaveRequests:
			mayBeReplaced <- r.core.RequestLeave()
		case joinPeers := <-r.joinPeers:
			r.core.SetJoinPeers(joinPeers)
		case zones := <-r.zones:
			r.core.SetZones(zones)
		}
		r.drainQueues()
		r.core.Tick(time.Now())
		if err := r.processOutput(); err != nil {
			return err
		}
	}
}

// drainQueues handles messages and requests that are already queued, so that
// they share one disk sync.
func (r *replica) drainQueues() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.core.Receive(time.Now(), m)
		case p := <-r.proposals:
			r.handleProposal(p)
		case response := <-r.readRequests:
			r.handleRead(response)
		default:
			return
		}
	}
}

// handleProposal appends a command to the log, or responds with an error if
// this replica is not the leader.
func (r *replica) handleProposal(p proposal) {
	position, err := r.core.Propose(p.command)
	if err != nil {
		p.response <- requestResult{err: err}
		return
	}
	r.pendingProposals[position.Index] = pendingProposal{term: position.Term, response: p.response}
}

// handleRead starts a read barrier, or responds with an error if this replica
// is not the leader.
func (r *replica) handleRead(response chan<- requestResult) {
	r.lastReadID++
	if err := r.core.Read(r.lastReadID); err != nil {
		response <- requestResult{err: err}
		return
	}
	r.pendingReads[r.lastReadID] = response
}

// processOutput performs the outputs of the consensus core until there is
// none, in the order that package consensus requires. Then it publishes the
// state.
func (r *replica) processOutput() error {
	for {
		output := r.core.Output(time.Now())
		if output.InconsistencyError != nil {
			return output.InconsistencyError
		}
		if output.IsEmpty() {
			if err := r.applyCommitted(time.Now()); err != nil {
				return err
			}
			r.publish()
			return nil
		}
		if err := r.store.Save(&output); err != nil {
			return err
		}
		r.send(output.Messages)
		r.core.Persisted(time.Now())
		if err := r.applyOutput(&output); err != nil {
			return err
		}
		r.completeReads(output.Reads)
		r.sendResponses()
		if err := r.compactLog(); err != nil {
			return err
		}
	}
}

// applyOutput installs a received snapshot and applies committed entries to
// the state machine. It completes the proposals of these entries.
func (r *replica) applyOutput(output *consensus.Output) error {
	if output.InstallSnapshot {
		restored, err := decodeSnapshot(output.Snapshot.Data)
		if err != nil {
			return err
		}
		r.stateMachine, r.applied, r.unapplied = restored, output.Snapshot.Index, nil
	}
	now := time.Now()
	if len(r.unapplied) == 0 {
		r.unappliedSince = now
	}
	r.unapplied = append(r.unapplied, output.Committed...)
	err := r.applyCommitted(now)
	r.failLostProposals()
	return err
}

// maxApplyDelay bounds how long committed entries wait for those that the leader
// has committed after them. It exceeds the transfer of a batch, and a heartbeat
// that repeats a lost one.
const maxApplyDelay = 500 * time.Millisecond

// maxUnappliedEntries bounds the committed entries that wait.
const maxUnappliedEntries = 64

// shouldAwaitMore reports whether the application of committed entries waits for
// more of them.
//
// Load pattern: a replica catches up on changes of a large desired state. They
// arrive one after the other, and decoding one of 15,000 routes takes 0.3 s of a
// small VM. Those that a later one supersedes are not decoded.
func (r *replica) shouldAwaitMore(now time.Time) bool {
	return r.core.IsBehindLeader() && now.Sub(r.unappliedSince) < maxApplyDelay && len(r.unapplied) < maxUnappliedEntries
}

// applyCommitted applies the committed entries unless they wait for more.
func (r *replica) applyCommitted(now time.Time) error {
	if len(r.unapplied) == 0 || r.shouldAwaitMore(now) {
		return nil
	}
	committed := r.unapplied
	r.unapplied = nil
	superseded := make([]uint64, len(committed))
	if len(r.pendingProposals) == 0 {
		// The result of a superseded entry may differ, and nobody waits for it.
		superseded = supersededVersions(committed)
	}
	for i, entry := range committed {
		result := intent.Result{}
		switch {
		case superseded[i] > 0:
			r.stateMachine, result = r.stateMachine.applySuperseded(superseded[i])
		case entry.Kind == consensus.KindCommand:
			next, changeResult, err := r.stateMachine.apply(entry.Data)
			if err != nil {
				return err
			}
			r.stateMachine, result = next, changeResult
		}
		r.applied = entry.Index
		if pending, ok := r.pendingProposals[entry.Index]; ok && pending.term == entry.Term {
			delete(r.pendingProposals, entry.Index)
			r.completeRequest(pending.response, requestResult{result: result})
		}
	}
	return nil
}

// failLostProposals fails the proposals that this replica can no longer
// complete. The client sends the request again to the next leader, which finds
// the operation id in its state if the change was applied.
func (r *replica) failLostProposals() {
	for index, pending := range r.pendingProposals {
		if r.core.Role() != consensus.Leader || pending.term != r.core.Term() || index <= r.applied {
			delete(r.pendingProposals, index)
			r.completeRequest(pending.response, requestResult{err: errLeadershipLost})
		}
	}
}

func (r *replica) completeReads(results []consensus.ReadResult) {
	for _, readResult := range results {
		response, ok := r.pendingReads[readResult.ID]
		delete(r.pendingReads, readResult.ID)
		switch {
		case !ok:
		case readResult.LeadershipLost:
			r.completeRequest(response, requestResult{err: errLeadershipLost})
		default:
			r.completeRequest(response, requestResult{})
		}
	}
}

// completeRequest queues the response to a request. Response channels are
// buffered for one result, so that sending never blocks.
func (r *replica) completeRequest(response chan<- requestResult, res requestResult) {
	r.completed = append(r.completed, completedRequest{response: response, result: res})
}

// sendResponses publishes the state and then sends the queued responses.
func (r *replica) sendResponses() {
	if len(r.completed) == 0 {
		return
	}
	r.publish()
	for _, request := range r.completed {
		request.response <- request.result
	}
	r.completed = nil
}

// compactLog replaces the log by a snapshot once it has grown to
// compactEntries or compactBytes.
func (r *replica) compactLog() error {
	snapshot := r.core.Snapshot()
	if r.applied-snapshot.Index < r.compactEntries && r.store.LogSize() < compactBytes(len(snapshot.Data)) {
		return nil
	}
	if r.applied == snapshot.Index {
		return nil
	}
	data, err := r.stateMachine.encodeSnapshot()
	if err != nil {
		return err
	}
	r.core.Compact(r.applied, data)
	return nil
}

// publish makes the current state visible to other goroutines, unless nothing
// has changed.
func (r *replica) publish() {
	previous := r.latest.Load()
	next := &publishedState{
		stateMachine: r.stateMachine, role: r.core.Role(), leader: r.core.Leader(), self: r.core.Self(),
		term: r.core.Term(), commit: r.core.CommitIndex(), applied: r.applied,
		snapshotIndex: r.core.Snapshot().Index, configuration: r.core.Configuration(), changed: make(chan struct{}),
	}
	if previous != nil && previous.stateMachine == next.stateMachine && previous.role == next.role && previous.leader == next.leader &&
		previous.term == next.term && previous.commit == next.commit && previous.applied == next.applied && previous.self == next.self {
		return
	}
	r.latest.Store(next)
	if previous != nil {
		r.onPublish(previous, next)
		close(previous.changed)
	}
}
