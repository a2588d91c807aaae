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
	controlReplicas = 3
	replicaTick     = 50 * time.Millisecond
	// compactAfter entries the log is replaced by a snapshot.
	compactAfter = 200
	// askInterval is how often a node asks for what it lacks; askTimeout is when
	// it turns to another replica.
	askInterval = time.Second
	askTimeout  = 2 * time.Second
	// requestTimeout is when an operator sends a request again.
	requestTimeout = time.Second
	controlTime    = 60 * time.Second
)

// controlWorld runs the consensus and intent packages with fake links and
// disks.
type controlWorld struct {
	*world
	random   *rand.Rand
	replicas []*replica
	nodes    []*controlNode
	// acceptedAt is when a revision was first applied by a replica.
	acceptedAt map[uint64]time.Time
	answers    map[string]intent.Result
	operations int
	// answerLoss is the share of answers to operators that are lost.
	answerLoss float64
}

// replica is one control VM. disk survives a restart.
type replica struct {
	w       *controlWorld
	index   int
	core    *consensus.Core
	disk    consensus.RestoredState
	lives   int
	up      bool
	cut     bool
	state   *intent.State
	applied uint64
	recent  []intent.Change
	waiters map[consensus.LogPosition]func(intent.Result)
	served  uint64
}

func replicaID(i int) vm.ID { return vm.ID(fmt.Sprintf("c%d", i+1)) }

func runControl(w *world, scenario func(*controlWorld)) {
	c := &controlWorld{
		world: w, random: newRand(w.opts.Seed, 5), acceptedAt: map[uint64]time.Time{}, answers: map[string]intent.Result{},
	}
	for i := range controlReplicas {
		r := &replica{w: c, index: i}
		c.replicas = append(c.replicas, r)
		r.start()
	}
	for i := range w.opts.Upstreams + w.opts.Balancers {
		n := &controlNode{w: c, zone: i, replica: i % controlReplicas, state: &intent.State{}}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	first := w.now
	setup := uint64(0)
	w.buildInventory(func(change intent.Change) {
		change.BaseRevision = setup
		setup++
		c.after(4*time.Second+time.Duration(setup)*time.Second, func() { c.submit(change) })
	})
	c.after(10*time.Second, func() { scenario(c) })
	w.runUntil(first.Add(10*time.Second + controlTime))
	c.verify()
}

// start begins a new life of the replica with what its disk holds.
func (r *replica) start() {
	r.lives++
	r.up = true
	ids := make([]vm.ID, controlReplicas)
	for i := range ids {
		ids[i] = replicaID(i)
	}
	options := consensus.DefaultOptions(consensus.Replica{VM: replicaID(r.index), Incarnation: vm.Incarnation(r.lives)}, ids)
	core, err := consensus.New(options, r.disk, r.w.now, newRand(r.w.opts.Seed, uint64(100+10*r.lives+r.index)))
	if err != nil {
		panic(err)
	}
	r.core, r.waiters, r.recent = core, map[consensus.LogPosition]func(intent.Result){}, nil
	r.install(r.disk.Snapshot)
	r.process()
	if r.state.Revision < r.served {
		r.w.result.Reverted++
	}
	r.tick(r.lives)
}

func (r *replica) install(s consensus.Snapshot) {
	r.state, r.applied = &intent.State{}, s.Index
	if len(s.Data) > 0 {
		if err := json.Unmarshal(s.Data, r.state); err != nil {
			panic(err)
		}
	}
	r.recent = nil
}

func (r *replica) tick(life int) {
	r.w.after(replicaTick, func() {
		if !r.up || r.lives != life {
			return
		}
		r.core.Tick(r.w.now)
		r.process()
		r.tick(life)
	})
}

// stop ends the life of the replica; lost also loses its disk.
func (r *replica) stop(lost bool) {
	r.up = false
	if lost {
		r.disk, r.served = consensus.RestoredState{}, 0
	}
}

// process performs outputs in the order that the consensus package requires.
func (r *replica) process() {
	for {
		out := r.core.Output(r.w.now)
		if out.Fault != nil {
			r.w.drop("consensus_fault")
			r.up = false
			return
		}
		if out.Empty() {
			return
		}
		r.save(&out)
		for _, m := range out.Messages {
			r.w.carry(r.index, m)
		}
		r.core.Persisted(r.w.now)
		if out.InstallSnapshot {
			r.install(*out.Snapshot)
		}
		for _, e := range out.Committed {
			r.apply(e)
		}
		r.compact()
	}
}

func (r *replica) save(out *consensus.Output) {
	if out.HardState != nil {
		r.disk.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = *out.Snapshot, nil
	}
	if len(out.Entries) == 0 {
		return
	}
	kept := r.disk.Entries[:0:0]
	for _, e := range r.disk.Entries {
		if e.Index < out.Entries[0].Index {
			kept = append(kept, e)
		}
	}
	r.disk.Entries = slices.Concat(kept, out.Entries)
}

func (r *replica) apply(e consensus.Entry) {
	r.applied = e.Index
	if e.Kind != consensus.KindCommand {
		return
	}
	var change intent.Change
	if err := json.Unmarshal(e.Data, &change); err != nil {
		panic(err)
	}
	next, result := intent.Apply(r.state, change)
	if next.Revision > r.state.Revision {
		r.recent = append(r.recent, change)
		if _, known := r.w.acceptedAt[next.Revision]; !known {
			r.w.acceptedAt[next.Revision] = r.w.now
		}
	}
	r.state, r.served = next, max(r.served, next.Revision)
	at := consensus.LogPosition{Index: e.Index, Term: e.Term}
	if answer, ok := r.waiters[at]; ok {
		delete(r.waiters, at)
		answer(result)
	}
	for _, n := range r.w.nodes {
		if n.replica == r.index {
			r.update(n, next.Revision-1)
		}
	}
}

func (r *replica) compact() {
	if r.applied-r.core.Snapshot().Index < compactAfter {
		return
	}
	data, err := json.Marshal(r.state)
	if err != nil {
		panic(err)
	}
	r.core.Compact(r.applied, data)
	r.recent = r.recent[max(len(r.recent)-compactAfter, 0):]
}

// carry sends a message between replicas.
func (c *controlWorld) carry(from int, m consensus.Message) {
	for _, to := range c.replicas {
		if replicaID(to.index) != m.To.VM {
			continue
		}
		c.send(c.opts.Deployment.ZoneDelay, func() {
			if to.up && !to.cut && !c.replicas[from].cut {
				to.core.Receive(c.now, m)
				to.process()
			}
		})
	}
}

// leader returns the replica that leads in the latest term, or nil.
func (c *controlWorld) leader() *replica {
	var best *replica
	for _, r := range c.replicas {
		if r.up && !r.cut && r.core.Role() == consensus.Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// submit sends a change as an operator does: again until it is answered.
func (c *controlWorld) submit(change intent.Change) {
	c.operations++
	change.OperationID = fmt.Sprintf("op-%d", c.operations)
	c.request(change, c.random.IntN(controlReplicas))
}

func (c *controlWorld) request(change intent.Change, to int) {
	done := false
	id := change.OperationID
	reply := func(result intent.Result) {
		c.send(c.opts.Deployment.ZoneDelay, func() {
			if c.links.Float64() >= c.answerLoss {
				done = true
				c.answered(id, result)
			}
		})
	}
	c.send(c.opts.Deployment.ZoneDelay, func() { c.propose(c.replicas[to], change, reply) })
	c.after(requestTimeout, func() {
		if !done {
			c.request(change, (to+1)%controlReplicas)
		}
	})
}

func (c *controlWorld) propose(r *replica, change intent.Change, reply func(intent.Result)) {
	if !r.up || r.cut {
		return
	}
	data, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	at, err := r.core.Propose(data)
	var other *consensus.NotLeaderError
	if errors.As(err, &other) {
		c.redirect(other.Leader.VM, change, reply)
		return
	}
	if err != nil {
		return
	}
	r.waiters[at] = reply
	r.process()
}

// redirect passes a request on to the leader, as an operator's client does.
func (c *controlWorld) redirect(leader vm.ID, change intent.Change, reply func(intent.Result)) {
	for _, r := range c.replicas {
		if replicaID(r.index) == leader {
			c.send(2*c.opts.Deployment.ZoneDelay, func() { c.propose(r, change, reply) })
		}
	}
}

// answered checks that every answer to an operation is the same.
func (c *controlWorld) answered(id string, result intent.Result) {
	first, known := c.answers[id]
	if !known {
		c.answers[id] = result
		return
	}
	if first.Outcome != result.Outcome || first.Revision != result.Revision {
		c.result.WrongAnswer++
	}
}
