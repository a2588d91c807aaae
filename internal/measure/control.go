package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	controlReplicas  = 3
	raftTickInterval = 50 * time.Millisecond
	// compactionThreshold is the number of applied log entries after which a
	// replica replaces its log by a snapshot.
	compactionThreshold = 200
	// syncInterval is the time between two requests of a node for newer changes.
	syncInterval = time.Second
	// replicaResponseTimeout is the time without a response after which a node
	// switches to another replica.
	replicaResponseTimeout = 2 * time.Second
	// operatorRetryInterval is the time without a response after which an operator
	// sends a request again.
	operatorRetryInterval = time.Second
	// controlScenarioTime is the virtual duration of a control scenario, without
	// the setup of the services.
	controlScenarioTime = 60 * time.Second
)

// controlSimulation runs the consensus and intent packages with simulated links
// and disks.
type controlSimulation struct {
	*simulation
	operatorRand *rand.Rand
	replicas     []*replica
	nodes        []*controlNode
	// firstAppliedAt is the time at which the first replica applied a revision.
	firstAppliedAt map[uint64]time.Time
	// responses contains the first response to each operation, by operation ID.
	responses      map[string]intent.Result
	operationCount int
	// responseLoss is the fraction of responses to operators that are lost.
	responseLoss float64
}

// replica is one control VM. Its disk survives a restart unless stop discards it.
//
// recentChanges are the changes that it can send to nodes without the whole state.
// pendingProposals contains the callbacks that respond to operators once an entry
// has been applied.
type replica struct {
	sim                *controlSimulation
	index              int
	core               *consensus.Core
	disk               consensus.RestoredState
	incarnation        int
	running            bool
	partitioned        bool
	state              *intent.State
	appliedIndex       uint64
	recentChanges      []intent.Change
	pendingProposals   map[consensus.LogPosition]func(intent.Result)
	maxAppliedRevision uint64
}

func replicaID(i int) vm.ID { return vm.ID(fmt.Sprintf("c%d", i+1)) }

func runControlScenario(sim *simulation, scenario func(*controlSimulation)) {
	c := &controlSimulation{
		simulation: sim, operatorRand: newRand(sim.opts.Seed, 5), firstAppliedAt: map[uint64]time.Time{}, responses: map[string]intent.Result{},
	}
	for i := range controlReplicas {
		r := &replica{sim: c, index: i}
		c.replicas = append(c.replicas, r)
		r.start()
	}
	for i := range sim.opts.Upstreams + sim.opts.Balancers {
		n := &controlNode{sim: c, zoneIndex: i, replicaIndex: i % controlReplicas, state: &intent.State{}}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	startedAt := sim.now
	setupRevision := uint64(0)
	sim.submitInventory(func(change intent.Change) {
		change.BaseRevision = setupRevision
		setupRevision++
		c.schedule(4*time.Second+time.Duration(setupRevision)*time.Second, func() { c.submit(change) })
	})
	c.schedule(10*time.Second, func() { scenario(c) })
	sim.runUntil(startedAt.Add(10*time.Second + controlScenarioTime))
	c.verifyOutcomes()
}

// start starts a new incarnation of the replica from the state on its disk. It
// counts a reverted revision if the restored state is older than a revision that
// the replica had applied before.
func (r *replica) start() {
	r.incarnation++
	r.running = true
	ids := make([]vm.ID, controlReplicas)
	for i := range ids {
		ids[i] = replicaID(i)
	}
	options := consensus.DefaultOptions(consensus.ReplicaID{VM: replicaID(r.index), Incarnation: vm.Incarnation(r.incarnation)}, ids)
	core, err := consensus.New(options, r.disk, r.sim.now, newRand(r.sim.opts.Seed, uint64(100+10*r.incarnation+r.index)))
	if err != nil {
		panic(err)
	}
	r.core, r.pendingProposals, r.recentChanges = core, map[consensus.LogPosition]func(intent.Result){}, nil
	r.restoreSnapshot(r.disk.Snapshot)
	r.processOutput()
	if r.state.Revision < r.maxAppliedRevision {
		r.sim.result.RevisionsReverted++
	}
	r.scheduleTick(r.incarnation)
}

func (r *replica) restoreSnapshot(snapshot consensus.Snapshot) {
	r.state, r.appliedIndex = &intent.State{}, snapshot.Index
	if len(snapshot.Data) > 0 {
		if err := json.Unmarshal(snapshot.Data, r.state); err != nil {
			panic(err)
		}
	}
	r.recentChanges = nil
}

func (r *replica) scheduleTick(incarnation int) {
	r.sim.schedule(raftTickInterval, func() {
		if !r.running || r.incarnation != incarnation {
			return
		}
		r.core.Tick(r.sim.now)
		r.processOutput()
		r.scheduleTick(incarnation)
	})
}

// stop ends the current incarnation of the replica. If diskLost is set, the disk
// is lost as well.
func (r *replica) stop(diskLost bool) {
	r.running = false
	if diskLost {
		r.disk, r.maxAppliedRevision = consensus.RestoredState{}, 0
	}
}

// processOutput handles the output of the consensus core in the order that the
// consensus package requires.
func (r *replica) processOutput() {
	for {
		out := r.core.Output(r.sim.now)
		if out.InconsistencyError != nil {
			r.sim.countDrop("consensus_fault")
			r.running = false
			return
		}
		if out.IsEmpty() {
			return
		}
		r.persist(&out)
		for _, message := range out.Messages {
			r.sim.sendRaftMessage(r.index, message)
		}
		r.core.Persisted(r.sim.now)
		if out.InstallSnapshot {
			r.restoreSnapshot(*out.Snapshot)
		}
		for _, entry := range out.Committed {
			r.applyEntry(entry)
		}
		r.compact()
	}
}

func (r *replica) persist(out *consensus.Output) {
	if out.HardState != nil {
		r.disk.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = *out.Snapshot, nil
	}
	if len(out.Entries) == 0 {
		return
	}
	retained := r.disk.Entries[:0:0]
	for _, entry := range r.disk.Entries {
		if entry.Index < out.Entries[0].Index {
			retained = append(retained, entry)
		}
	}
	r.disk.Entries = slices.Concat(retained, out.Entries)
}

func (r *replica) applyEntry(entry consensus.Entry) {
	r.appliedIndex = entry.Index
	if entry.Kind != consensus.KindCommand {
		return
	}
	var change intent.Change
	if err := json.Unmarshal(entry.Data, &change); err != nil {
		panic(err)
	}
	next, result := intent.Apply(r.state, change)
	if next.Revision > r.state.Revision {
		r.recentChanges = append(r.recentChanges, change)
		if _, alreadyApplied := r.sim.firstAppliedAt[next.Revision]; !alreadyApplied {
			r.sim.firstAppliedAt[next.Revision] = r.sim.now
		}
	}
	r.state, r.maxAppliedRevision = next, max(r.maxAppliedRevision, next.Revision)
	position := consensus.LogPosition{Index: entry.Index, Term: entry.Term}
	if sendResponse, ok := r.pendingProposals[position]; ok {
		delete(r.pendingProposals, position)
		sendResponse(result)
	}
	for _, n := range r.sim.nodes {
		if n.replicaIndex == r.index {
			r.sendUpdate(n, next.Revision-1)
		}
	}
}

func (r *replica) compact() {
	if r.appliedIndex-r.core.Snapshot().Index < compactionThreshold {
		return
	}
	data, err := json.Marshal(r.state)
	if err != nil {
		panic(err)
	}
	r.core.Compact(r.appliedIndex, data)
	r.recentChanges = r.recentChanges[max(len(r.recentChanges)-compactionThreshold, 0):]
}

// sendRaftMessage sends a message from one replica to another. The message is lost
// if either replica is partitioned when it arrives.
func (c *controlSimulation) sendRaftMessage(from int, message consensus.Message) {
	for _, target := range c.replicas {
		if replicaID(target.index) != message.To.VM {
			continue
		}
		c.sendOverLink(c.opts.Deployment.ZoneDelay, func() {
			if target.running && !target.partitioned && !c.replicas[from].partitioned {
				target.core.Receive(c.now, message)
				target.processOutput()
			}
		})
	}
}

// leader returns the running leader with the highest term, or nil. It leaves out
// partitioned replicas.
func (c *controlSimulation) leader() *replica {
	var latest *replica
	for _, r := range c.replicas {
		if r.running && !r.partitioned && r.core.Role() == consensus.Leader && (latest == nil || r.core.Term() > latest.core.Term()) {
			latest = r
		}
	}
	return latest
}

// submit sends a change as an operator does, and repeats it until a response
// arrives.
func (c *controlSimulation) submit(change intent.Change) {
	c.operationCount++
	change.OperationID = fmt.Sprintf("op-%d", c.operationCount)
	c.sendToReplica(change, c.operatorRand.IntN(controlReplicas))
}

func (c *controlSimulation) sendToReplica(change intent.Change, replicaIndex int) {
	responded := false
	id := change.OperationID
	sendResponse := func(result intent.Result) {
		c.sendOverLink(c.opts.Deployment.ZoneDelay, func() {
			if c.linkRand.Float64() >= c.responseLoss {
				responded = true
				c.recordResponse(id, result)
			}
		})
	}
	c.sendOverLink(c.opts.Deployment.ZoneDelay, func() { c.proposeTo(c.replicas[replicaIndex], change, sendResponse) })
	c.schedule(operatorRetryInterval, func() {
		if !responded {
			c.sendToReplica(change, (replicaIndex+1)%controlReplicas)
		}
	})
}

func (c *controlSimulation) proposeTo(r *replica, change intent.Change, sendResponse func(intent.Result)) {
	if !r.running || r.partitioned {
		return
	}
	data, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	position, err := r.core.Propose(data)
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		c.forwardToLeader(notLeader.Leader.VM, change, sendResponse)
		return
	}
	if err != nil {
		return
	}
	r.pendingProposals[position] = sendResponse
	r.processOutput()
}

// forwardToLeader sends a request to the leader, as an operator's client does after
// a response from a follower.
func (c *controlSimulation) forwardToLeader(leader vm.ID, change intent.Change, sendResponse func(intent.Result)) {
	for _, r := range c.replicas {
		if replicaID(r.index) == leader {
			c.sendOverLink(2*c.opts.Deployment.ZoneDelay, func() { c.proposeTo(r, change, sendResponse) })
		}
	}
}

// recordResponse stores the first response to an operation. Each later response
// must have the same outcome and revision.
func (c *controlSimulation) recordResponse(id string, result intent.Result) {
	firstResult, alreadyResponded := c.responses[id]
	if !alreadyResponded {
		c.responses[id] = result
		return
	}
	if firstResult.Outcome != result.Outcome || firstResult.Revision != result.Revision {
		c.result.WrongResponses++
	}
}
