package measure

import (
	"encoding/json"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// controlNode is a balancer or agent that receives the configuration from a
// control replica.
type controlNode struct {
	sim            *controlSimulation
	zoneIndex      int
	replicaIndex   int
	state          *intent.State
	running        bool
	startedAt      time.Time
	lastResponseAt time.Time
	receivedBytes  int64
}

func (n *controlNode) start() {
	n.running, n.startedAt, n.lastResponseAt = true, n.sim.now, n.sim.now
	n.scheduleSync(n.startedAt)
}

// scheduleSync requests missing changes immediately and then once per syncInterval.
// If the current replica has not responded within replicaResponseTimeout, the node
// switches to the next replica.
func (n *controlNode) scheduleSync(incarnationStart time.Time) {
	if !n.running || n.startedAt != incarnationStart {
		return
	}
	if n.sim.now.Sub(n.lastResponseAt) > replicaResponseTimeout {
		n.replicaIndex = (n.replicaIndex + 1) % controlReplicas
		n.lastResponseAt = n.sim.now
	}
	r, afterRevision := n.sim.replicas[n.replicaIndex], n.state.Revision
	n.sim.sendOverLink(n.sim.linkDelay(zoneAt(n.zoneIndex), zoneAt(r.index)), func() { r.sendUpdate(n, afterRevision) })
	n.sim.schedule(syncInterval, func() { n.scheduleSync(incarnationStart) })
}

// sendUpdate sends a node the changes after a revision. If the replica no longer
// has all of these changes, it sends the whole state.
func (r *replica) sendUpdate(n *controlNode, afterRevision uint64) {
	if !r.running || r.partitioned {
		return
	}
	state, changes := r.state, []intent.Change(nil)
	missing := int(state.Revision) - int(afterRevision)
	if missing > 0 && missing <= len(r.recentChanges) {
		changes = r.recentChanges[len(r.recentChanges)-missing:]
	}
	r.sim.sendOverLink(r.sim.linkDelay(zoneAt(n.zoneIndex), zoneAt(r.index)), func() { n.receiveUpdate(state, changes) })
}

// receiveUpdate applies changes in order of their revisions. It ignores an update
// that is not newer than the node's state.
func (n *controlNode) receiveUpdate(state *intent.State, changes []intent.Change) {
	if !n.running {
		return
	}
	n.lastResponseAt = n.sim.now
	previousRevision := n.state.Revision
	if state.Revision <= previousRevision {
		return
	}
	n.state = n.stateAfterUpdate(state, changes)
	if n.state.Revision < previousRevision {
		n.sim.result.RevisionsReverted++
	}
	for revision := previousRevision + 1; revision <= n.state.Revision; revision++ {
		if appliedAt := n.sim.firstAppliedAt[revision]; !appliedAt.Before(n.startedAt) {
			n.sim.result.MaxPropagationMs = max(n.sim.result.MaxPropagationMs, n.sim.now.Sub(appliedAt).Milliseconds())
		}
	}
}

func (n *controlNode) stateAfterUpdate(state *intent.State, changes []intent.Change) *intent.State {
	if changes == nil {
		n.countReceivedBytes(state)
		return state
	}
	n.countReceivedBytes(changes)
	updated := n.state
	for _, change := range changes {
		if change.BaseRevision != updated.Revision {
			// The change has been applied already, or earlier changes are missing.
			// The next sync request fetches missing changes.
			continue
		}
		replayed, err := intent.Replay(updated, change)
		if err != nil {
			n.sim.result.WrongResponses++
			return updated
		}
		updated = replayed
	}
	return updated
}

func (n *controlNode) countReceivedBytes(message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.receivedBytes += int64(len(data) + datagramBytes)
}

// verifyOutcomes compares the responses that operators received with the final
// state, and records how many nodes have not applied it.
func (c *controlSimulation) verifyOutcomes() {
	final := c.replicas[0].state
	for _, r := range c.replicas {
		if r.state.Revision > final.Revision {
			final = r.state
		}
	}
	executions := map[string]int{}
	for _, historyEntry := range final.History {
		executions[historyEntry.OperationID]++
		if executions[historyEntry.OperationID] > 1 {
			c.result.ExecutedTwice++
		}
	}
	result := &c.result
	for id, response := range c.responses {
		switch {
		case response.Outcome == intent.Accepted && executions[id] == 0:
			result.RevisionsReverted++
		case response.Outcome != intent.Accepted && executions[id] > 0:
			result.RefusedButExecuted++
		case response.Outcome == intent.Accepted:
			result.ChangesAccepted++
		}
	}
	result.ChangesProposed, result.ChangesWithoutResponse = int64(c.operationCount), int64(c.operationCount-len(c.responses))
	for _, n := range c.nodes {
		result.ControlBytesPerNodeS = max(result.ControlBytesPerNodeS, roundToFourDecimals(float64(n.receivedBytes)/controlScenarioTime.Seconds()))
		if n.running && n.state.Revision < final.Revision {
			result.NodesBehind++
		}
	}
}

// controlScenarios are scenarios that simulate the control replicas without
// traffic.
var controlScenarios = map[string]func(*controlSimulation){
	"operator-race":            operatorRace,
	"resend":                   resend,
	"leader-loss":              leaderLoss,
	"late-restart":             lateRestart,
	"control-partition":        controlPartition,
	"second-loss-after-repair": diskLossAfterRepair,
}

// leavingToggle returns a change that starts or ends the leaving state of an
// upstream. It is valid on top of the state that the leader serves.
func (c *controlSimulation) leavingToggle(number int) intent.Change {
	state := c.replicas[number%controlReplicas].state
	if r := c.leader(); r != nil {
		state = r.state
	}
	change := intent.Change{Kind: intent.KindLeaving, BaseRevision: state.Revision}
	upstreamIndex := 0
	for _, inventoryVM := range state.VMs {
		if inventoryVM.Role == vm.RoleUpstream && upstreamIndex == number%5 {
			change.Leaving = &intent.LeavingRule{VM: inventoryVM.ID, Leaving: inventoryVM.Status == intent.Active}
			break
		}
		if inventoryVM.Role == vm.RoleUpstream {
			upstreamIndex++
		}
	}
	return change
}

// scheduleChanges makes each operator submit one change per interval, for a number
// of rounds.
func (c *controlSimulation) scheduleChanges(rounds int, interval time.Duration, operators int) {
	for i := range rounds {
		c.schedule(time.Duration(i)*interval, func() {
			for operator := range operators {
				c.submit(c.leavingToggle(i + operator))
			}
		})
	}
}

// operatorRace makes four operators submit changes to the same revision at the same
// time.
func operatorRace(c *controlSimulation) { c.scheduleChanges(50, time.Second, 4) }

// resend loses half of the responses, so that operators repeat their requests.
func resend(c *controlSimulation) {
	c.responseLoss = 0.5
	c.scheduleChanges(45, time.Second, 2)
}

// leaderLoss stops the leader three times. Each stopped leader restarts with its
// disk.
func leaderLoss(c *controlSimulation) {
	c.scheduleChanges(45, time.Second, 1)
	for i := range 3 {
		c.schedule(time.Duration(5+15*i)*time.Second, func() {
			if r := c.leader(); r != nil {
				r.stop(false)
				c.schedule(8*time.Second, r.start)
			}
		})
	}
}

// lateRestart restarts a replica and a node after they have missed hundreds of
// changes.
func lateRestart(c *controlSimulation) {
	lateReplica, lateNode := c.replicas[2], c.nodes[0]
	lateReplica.stop(false)
	lateNode.running = false
	c.scheduleChanges(700, 60*time.Millisecond, 1)
	c.schedule(46*time.Second, func() {
		lateReplica.start()
		lateNode.start()
	})
	c.schedule(50*time.Second, func() { c.scheduleChanges(5, time.Second, 1) })
}

// controlPartition isolates a replica: its messages are dropped without an error.
// Later it reconnects the replica.
func controlPartition(c *controlSimulation) {
	c.scheduleChanges(45, time.Second, 1)
	isolated := c.replicas[1]
	c.schedule(3*time.Second, func() { isolated.partitioned = true })
	c.schedule(40*time.Second, func() { isolated.partitioned = false })
}

// diskLossAfterRepair loses the disk of one replica. After that replica has been
// repaired, it loses the disk of another one.
func diskLossAfterRepair(c *controlSimulation) {
	c.scheduleChanges(45, time.Second, 1)
	c.schedule(3*time.Second, func() { c.replicas[0].stop(true) })
	c.schedule(8*time.Second, func() { c.replicas[0].start() })
	c.schedule(14*time.Second, func() { c.replicas[1].stop(true) })
}
