package fanout

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Node holds the fan-out state of one process. It is not safe for concurrent use.
type Node struct {
	config          Config
	log             changeLog
	isLeader        bool
	controlReplicas []vm.ID
	parent          vm.ID
	children        []*child
	childrenByID    map[vm.ID]*child

	nextHeartbeatAt time.Time
	// lastSender is the node whose heartbeat or update was recorded last, at
	// lastReceivedAt.
	lastSender     vm.ID
	lastReceivedAt time.Time
	nextPullAt     time.Time
	// ackedRevision is the subtree revision in the last acknowledgement.
	ackedRevision uint64
}

// New returns a node with a stored state. A nil state stands for an empty one.
func New(config Config, state *intent.State) *Node {
	if config.TreeDegree == 0 {
		config.TreeDegree = DefaultTreeDegree
	}
	if state == nil {
		state = &intent.State{}
	}
	if config.Replay == nil {
		config.Replay = intent.Replay
	}
	return &Node{config: config, log: changeLog{state: state, replay: config.Replay}, childrenByID: map[vm.ID]*child{}}
}

// State returns the latest applied state.
func (n *Node) State() *intent.State { return n.log.state }

// Publish sets a state that control has committed and sends it to the children.
// change led to the state; it is nil after a snapshot of the replicated log. States
// that are not newer are ignored.
func (n *Node) Publish(now time.Time, state *intent.State, change *intent.Change) Output {
	var out Output
	previous := n.log.state.Revision
	if state.Revision <= previous {
		return out
	}
	if change != nil && state.Revision == previous+1 {
		n.log.appendChange(state, *change, 0)
	} else {
		n.log.resetToSnapshot(state)
	}
	n.forwardToChildren(now, previous, &out)
	return out
}

// AppliedInSubtree returns the lowest revision that the node and its children's
// subtrees have applied. On the leader this revision is applied everywhere.
func (n *Node) AppliedInSubtree() uint64 {
	minimum := n.log.state.Revision
	for _, c := range n.children {
		minimum = min(minimum, c.subtreeRevision)
	}
	return minimum
}

// Tick sends heartbeats, retransmits unacknowledged updates and sends pulls after a
// timeout. It must be called every TickInterval.
func (n *Node) Tick(now time.Time) Output {
	var out Output
	n.removeExpiredAdopted(now)
	if !now.Before(n.nextHeartbeatAt) {
		n.nextHeartbeatAt = now.Add(heartbeatInterval)
		for _, c := range n.children {
			n.sendHeartbeat(c, &out)
		}
	}
	n.retransmit(now, &out)
	n.pullIfTimedOut(now, &out)
	return out
}

// retransmit repeats unacknowledged updates. The timeout includes the time that all
// unacknowledged bytes take at assumedBytesPerSecond.
func (n *Node) retransmit(now time.Time, out *Output) {
	unacked := 0
	for _, c := range n.children {
		unacked += c.unackedBytes
	}
	timeout := retransmitTimeout + time.Duration(float64(unacked)/assumedBytesPerSecond*float64(time.Second))
	for _, c := range n.children {
		if c.appliedRevision >= n.log.state.Revision || now.Sub(c.sentAt) < timeout {
			continue
		}
		if !c.hasAcked {
			c.sentAt = now
			n.sendHeartbeat(c, out)
			continue
		}
		n.sendUpdateSince(now, c, c.appliedRevision, out)
	}
}

// sendHeartbeat sends a heartbeat with the subtree revision that the child last
// acknowledged. If it differs, the child repeats the acknowledgement.
func (n *Node) sendHeartbeat(c *child, out *Output) {
	n.appendMessage(out, c.id, Message{Kind: Heartbeat, Revision: n.log.state.Revision, SubtreeRevision: c.subtreeRevision, RequestAck: !c.hasAcked})
}

// removeExpiredAdopted removes adopted children that have sent no pull within
// adoptionPeriod.
func (n *Node) removeExpiredAdopted(now time.Time) {
	remaining := n.children[:0]
	for _, c := range n.children {
		if c.adopted && now.After(c.adoptedUntil) {
			delete(n.childrenByID, c.id)
			continue
		}
		remaining = append(remaining, c)
	}
	n.children = remaining
}

// pullIfTimedOut sends a pull to the parent after pullFromParentAfter, and to a
// random control replica after pullFromControlAfter.
func (n *Node) pullIfTimedOut(now time.Time, out *Output) {
	if n.config.IsControlReplica {
		return
	}
	if n.lastReceivedAt.IsZero() {
		// A node that starts pulls from its parent immediately.
		n.lastReceivedAt = now.Add(-pullFromParentAfter)
	}
	sinceLastReceived := now.Sub(n.lastReceivedAt)
	if sinceLastReceived < pullFromParentAfter || now.Before(n.nextPullAt) {
		return
	}
	n.nextPullAt = now.Add(pullInterval)
	to := n.parent
	if (to == "" || sinceLastReceived >= pullFromControlAfter) && len(n.controlReplicas) > 0 {
		to = n.controlReplicas[n.config.Rand.IntN(len(n.controlReplicas))]
	}
	if to != "" {
		n.appendMessage(out, to, Message{Kind: Pull, Revision: n.log.state.Revision, SubtreeRevision: n.AppliedInSubtree()})
	}
}

// Handle processes a message from another node.
func (n *Node) Handle(now time.Time, from vm.ID, m Message) Output {
	var out Output
	switch m.Kind {
	case Update:
		n.handleUpdate(now, from, m, &out)
	case Heartbeat:
		n.recordSender(now, from)
		if m.RequestAck || m.SubtreeRevision != n.AppliedInSubtree() {
			n.sendAck(from, &out)
		}
	case Ack:
		n.handleAck(now, from, m, &out)
	case Pull:
		n.handlePull(now, from, m, &out)
	}
	return out
}

// recordSender records the sender and time of a heartbeat or update. Messages of
// other senders are not recorded within pullFromParentAfter of one of the parent.
func (n *Node) recordSender(now time.Time, from vm.ID) {
	if n.parent != "" && from != n.parent && n.lastSender == n.parent && now.Sub(n.lastReceivedAt) < pullFromParentAfter {
		return
	}
	n.lastSender, n.lastReceivedAt = from, now
}

// handleUpdate applies an update, forwards it to the children and acknowledges it. If
// it does not continue the local revision, a pull requests the missing changes.
func (n *Node) handleUpdate(now time.Time, from vm.ID, m Message, out *Output) {
	n.recordSender(now, from)
	previous := n.log.state.Revision
	if m.Update == nil || n.config.IsControlReplica {
		return
	}
	if !n.log.applyUpdate(&m) {
		n.appendMessage(out, from, Message{Kind: Pull, Revision: n.log.state.Revision, SubtreeRevision: n.AppliedInSubtree()})
	}
	if n.log.state.Revision > previous {
		out.Applied = n.log.state
		n.forwardToChildren(now, previous, out)
	}
	// Updates without a new revision are acknowledged too. Otherwise the sender
	// retransmits them.
	n.sendAck(from, out)
}

// forwardToChildren sends the changes after the previous revision to all children.
func (n *Node) forwardToChildren(now time.Time, previous uint64, out *Output) {
	for _, c := range n.children {
		from := previous
		if c.hasAcked {
			from = min(previous, max(c.appliedRevision, c.sentRevision))
		}
		update := n.log.updateSince(from)
		if update.UpdateBytes > maxUnannouncedBytes || n.log.state.Revision > previous+1 {
			// Another node may have sent the update to the child already, in
			// particular if this node was behind. The revision of the child is
			// requested first.
			c.hasAcked, c.sentAt = false, now
			n.sendHeartbeat(c, out)
			continue
		}
		n.sendUpdate(now, c, update, out)
	}
}

func (n *Node) sendUpdateSince(now time.Time, c *child, revision uint64, out *Output) {
	n.sendUpdate(now, c, n.log.updateSince(revision), out)
}

func (n *Node) sendUpdate(now time.Time, c *child, update Message, out *Output) {
	c.sentRevision, c.sentAt = n.log.state.Revision, now
	c.unackedBytes = update.UpdateBytes
	n.appendMessage(out, c.id, update)
}

// reportSubtreeRevision sends an acknowledgement if the subtree revision has
// changed. While another node sends the updates, the parent receives one too,
// because its own subtree revision depends on it.
func (n *Node) reportSubtreeRevision(out *Output) {
	if n.lastSender == "" || n.ackedRevision == n.AppliedInSubtree() {
		return
	}
	n.sendAck(n.lastSender, out)
	if n.parent != "" && n.parent != n.lastSender {
		n.sendAck(n.parent, out)
	}
}

func (n *Node) sendAck(to vm.ID, out *Output) {
	n.ackedRevision = n.AppliedInSubtree()
	n.appendMessage(out, to, Message{Kind: Ack, Revision: n.log.state.Revision, SubtreeRevision: n.ackedRevision})
}

// handleAck updates the progress of a child. Acks of other nodes are ignored.
func (n *Node) handleAck(now time.Time, from vm.ID, ack Message, out *Output) {
	c := n.childByID(from)
	if c == nil {
		return
	}
	n.updateChildProgress(now, c, ack, out)
	if !n.config.IsControlReplica {
		n.reportSubtreeRevision(out)
	}
}

// updateChildProgress sets the acknowledged revisions of a child. After the first ack
// it sends the changes that the child has not applied.
func (n *Node) updateChildProgress(now time.Time, c *child, ack Message, out *Output) {
	firstAck := !c.hasAcked
	c.hasAcked, c.appliedRevision, c.subtreeRevision = true, ack.Revision, ack.SubtreeRevision
	if c.appliedRevision >= c.sentRevision {
		c.unackedBytes = 0
	}
	if firstAck && c.appliedRevision < n.log.state.Revision {
		n.sendUpdateSince(now, c, c.appliedRevision, out)
	}
}

// handlePull responds with an update or a heartbeat. A sender that is not a child is
// adopted for adoptionPeriod.
func (n *Node) handlePull(now time.Time, from vm.ID, pull Message, out *Output) {
	c := n.childByID(from)
	if c == nil {
		c = &child{id: from, adopted: true}
		n.children = append(n.children, c)
		n.childrenByID[from] = c
	}
	c.adoptedUntil = now.Add(adoptionPeriod)
	c.hasAcked, c.appliedRevision, c.subtreeRevision = true, pull.Revision, pull.SubtreeRevision
	if pull.Revision < n.log.state.Revision {
		n.sendUpdateSince(now, c, pull.Revision, out)
		return
	}
	n.sendHeartbeat(c, out)
}

func (n *Node) appendMessage(out *Output, to vm.ID, m Message) {
	out.Messages = append(out.Messages, OutgoingMessage{To: to, Message: m})
}
