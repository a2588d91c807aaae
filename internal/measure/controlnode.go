package measure

import (
	"encoding/json"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// controlNode is a balancer or agent that follows the intent.
type controlNode struct {
	w         *controlWorld
	zone      int
	replica   int
	state     *intent.State
	up        bool
	startedAt time.Time
	heard     time.Time
	bytes     int64
}

func (n *controlNode) start() {
	n.up, n.startedAt, n.heard = true, n.w.now, n.w.now
	n.ask(n.startedAt)
}

// ask requests what the node lacks, and turns to another replica if the current
// one is silent.
func (n *controlNode) ask(life time.Time) {
	if !n.up || n.startedAt != life {
		return
	}
	if n.w.now.Sub(n.heard) > askTimeout {
		n.replica = (n.replica + 1) % controlReplicas
		n.heard = n.w.now
	}
	r, from := n.w.replicas[n.replica], n.state.Revision
	n.w.send(n.w.delay(zoneOf(n.zone), zoneOf(r.index)), func() { r.update(n, from) })
	n.w.after(askInterval, func() { n.ask(life) })
}

// update sends a node the changes after a revision, or the whole state.
func (r *replica) update(n *controlNode, from uint64) {
	if !r.up || r.cut {
		return
	}
	state, changes := r.state, []intent.Change(nil)
	missing := int(state.Revision) - int(from)
	if missing > 0 && missing <= len(r.recent) {
		changes = r.recent[len(r.recent)-missing:]
	}
	r.w.send(r.w.delay(zoneOf(n.zone), zoneOf(r.index)), func() { n.receive(state, changes) })
}

// receive applies changes in order. It never goes back.
func (n *controlNode) receive(state *intent.State, changes []intent.Change) {
	if !n.up {
		return
	}
	n.heard = n.w.now
	before := n.state.Revision
	if state.Revision <= before {
		return
	}
	n.state = n.next(state, changes)
	if n.state.Revision < before {
		n.w.result.Reverted++
	}
	for revision := before + 1; revision <= n.state.Revision; revision++ {
		if at := n.w.acceptedAt[revision]; !at.Before(n.startedAt) {
			n.w.result.InForceMsMax = max(n.w.result.InForceMsMax, n.w.now.Sub(at).Milliseconds())
		}
	}
}

func (n *controlNode) next(state *intent.State, changes []intent.Change) *intent.State {
	if changes == nil {
		n.count(state)
		return state
	}
	n.count(changes)
	current := n.state
	for _, change := range changes {
		if change.BaseRevision != current.Revision {
			// Known already, or a gap that the next request closes.
			continue
		}
		replayed, err := intent.Replay(current, change)
		if err != nil {
			n.w.result.WrongAnswer++
			return current
		}
		current = replayed
	}
	return current
}

func (n *controlNode) count(message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.bytes += int64(len(data) + datagramBytes)
}

// verify compares the answers that operators got with the final state.
func (c *controlWorld) verify() {
	final := c.replicas[0].state
	for _, r := range c.replicas {
		if r.state.Revision > final.Revision {
			final = r.state
		}
	}
	ran := map[string]int{}
	for _, row := range final.History {
		ran[row.OperationID]++
		if ran[row.OperationID] > 1 {
			c.result.RunTwice++
		}
	}
	result := &c.result
	for id, answer := range c.answers {
		switch {
		case answer.Outcome == intent.Accepted && ran[id] == 0:
			result.Reverted++
		case answer.Outcome != intent.Accepted && ran[id] > 0:
			result.RefusedButRan++
		case answer.Outcome == intent.Accepted:
			result.ChangesAccepted++
		}
	}
	result.ChangesProposed, result.ChangesUnanswered = int64(c.operations), int64(c.operations-len(c.answers))
	for _, n := range c.nodes {
		result.ControlBytesPerNodeS = max(result.ControlBytesPerNodeS, round(float64(n.bytes)/controlTime.Seconds()))
		if n.up && n.state.Revision < final.Revision {
			result.NodesBehind++
		}
	}
}

// controlScenarios concern control only.
var controlScenarios = map[string]func(*controlWorld){
	"operator-race":            operatorRace,
	"resend":                   resend,
	"leader-loss":              leaderLoss,
	"late-restart":             lateRestart,
	"control-partition":        controlPartition,
	"second-loss-after-repair": secondLoss,
}

// toggle returns a valid change on top of the state that the leader serves.
func (c *controlWorld) toggle(number int) intent.Change {
	state := c.replicas[number%controlReplicas].state
	if r := c.leader(); r != nil {
		state = r.state
	}
	change := intent.Change{Kind: intent.KindLeaving, BaseRevision: state.Revision}
	upstreams := 0
	for _, v := range state.VMs {
		if v.Role == vm.RoleUpstream && upstreams == number%5 {
			change.Leaving = &intent.LeavingRule{VM: v.ID, Leaving: v.Status == intent.Active}
			break
		}
		if v.Role == vm.RoleUpstream {
			upstreams++
		}
	}
	return change
}

// repeat submits a number of changes at an interval.
func (c *controlWorld) repeat(count int, interval time.Duration, operators int) {
	for i := range count {
		c.after(time.Duration(i)*interval, func() {
			for operator := range operators {
				c.submit(c.toggle(i + operator))
			}
		})
	}
}

// operatorRace lets four operators change the same revision at the same time.
func operatorRace(c *controlWorld) { c.repeat(50, time.Second, 4) }

// resend loses half of the answers, so that operators repeat their requests.
func resend(c *controlWorld) {
	c.answerLoss = 0.5
	c.repeat(45, time.Second, 2)
}

// leaderLoss kills the leader three times; each returns with its disk.
func leaderLoss(c *controlWorld) {
	c.repeat(45, time.Second, 1)
	for i := range 3 {
		c.after(time.Duration(5+15*i)*time.Second, func() {
			if r := c.leader(); r != nil {
				r.stop(false)
				c.after(8*time.Second, r.start)
			}
		})
	}
}

// lateRestart brings a replica and a node back after hundreds of changes.
func lateRestart(c *controlWorld) {
	late, node := c.replicas[2], c.nodes[0]
	late.stop(false)
	node.up = false
	c.repeat(700, 60*time.Millisecond, 1)
	c.after(46*time.Second, func() {
		late.start()
		node.start()
	})
	c.after(50*time.Second, func() { c.repeat(5, time.Second, 1) })
}

// controlPartition cuts one replica off without a signal and connects it again.
func controlPartition(c *controlWorld) {
	c.repeat(45, time.Second, 1)
	cut := c.replicas[1]
	c.after(3*time.Second, func() { cut.cut = true })
	c.after(40*time.Second, func() { cut.cut = false })
}

// secondLoss loses the disk of one replica and, after its repair, another one.
func secondLoss(c *controlWorld) {
	c.repeat(45, time.Second, 1)
	c.after(3*time.Second, func() { c.replicas[0].stop(true) })
	c.after(8*time.Second, func() { c.replicas[0].start() })
	c.after(14*time.Second, func() { c.replicas[1].stop(true) })
}
