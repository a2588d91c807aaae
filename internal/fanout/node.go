package fanout

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Node is the fan-out state of one process.
type Node struct {
	config   Config
	history  history
	leader   bool
	controls []vm.ID
	parent   vm.ID
	children []*child
	byID     map[vm.ID]*child

	beatAt time.Time
	// source is the node that last sent a beat or an update, at heardAt.
	source  vm.ID
	heardAt time.Time
	pullAt  time.Time
	// reported is the subtree revision that was last acknowledged.
	reported uint64
}

// New returns a node with the last state that the process has kept, or an
// empty one.
func New(config Config, state *intent.State) *Node {
	if config.Degree == 0 {
		config.Degree = DefaultDegree
	}
	if state == nil {
		state = &intent.State{}
	}
	if config.Replay == nil {
		config.Replay = intent.Replay
	}
	return &Node{config: config, history: history{state: state, replay: config.Replay}, byID: map[vm.ID]*child{}}
}

// State returns the latest applied state.
func (n *Node) State() *intent.State { return n.history.state }

// Publish takes a state that control has committed, with the change that led
// to it, and sends it on. A state without its change, after a snapshot of the
// log, has a nil change. States that are not newer are ignored.
func (n *Node) Publish(now time.Time, state *intent.State, change *intent.Change) Output {
	var out Output
	own := n.history.state.Revision
	if state.Revision <= own {
		return out
	}
	if change != nil && state.Revision == own+1 {
		n.history.append(state, *change, 0)
	} else {
		n.history.replace(state)
	}
	n.forward(now, own, &out)
	return out
}

// AppliedInSubtree returns the revision that the node and its subtree have applied. At
// the leader that is what is in force everywhere.
func (n *Node) AppliedInSubtree() uint64 {
	lowest := n.history.state.Revision
	for _, c := range n.children {
		lowest = min(lowest, c.subtree)
	}
	return lowest
}

// Tick sends beats and repeats what was not acknowledged.
func (n *Node) Tick(now time.Time) Output {
	var out Output
	n.expireAdopted(now)
	if !now.Before(n.beatAt) {
		n.beatAt = now.Add(beatInterval)
		for _, c := range n.children {
			n.beat(c, &out)
		}
	}
	n.resend(now, &out)
	n.tickPull(now, &out)
	return out
}

// resend repeats what was not acknowledged, after the time that everything
// that is on its way may take.
func (n *Node) resend(now time.Time, out *Output) {
	outstanding := 0
	for _, c := range n.children {
		outstanding += c.outstanding
	}
	timeout := resendTimeout + time.Duration(float64(outstanding)/assumedRate*float64(time.Second))
	for _, c := range n.children {
		if c.applied >= n.history.state.Revision || now.Sub(c.sentAt) < timeout {
			continue
		}
		if !c.known {
			c.sentAt = now
			n.beat(c, out)
			continue
		}
		n.sendSince(now, c, c.applied, out)
	}
}

// beat tells a receiver what is known of it, so that a lost acknowledgement is
// repeated.
func (n *Node) beat(c *child, out *Output) {
	n.emit(out, c.id, Message{Kind: Beat, Revision: n.history.state.Revision, Subtree: c.subtree, Ask: !c.known})
}

// expireAdopted drops receivers that no longer ask.
func (n *Node) expireAdopted(now time.Time) {
	kept := n.children[:0]
	for _, c := range n.children {
		if c.adopted && now.After(c.until) {
			delete(n.byID, c.id)
			continue
		}
		kept = append(kept, c)
	}
	n.children = kept
}

// tickPull asks the parent, then a control replica, when no beat arrives.
func (n *Node) tickPull(now time.Time, out *Output) {
	if n.config.Control {
		return
	}
	if n.heardAt.IsZero() {
		// A node that starts asks its parent at once.
		n.heardAt = now.Add(-parentTimeout)
	}
	silent := now.Sub(n.heardAt)
	if silent < parentTimeout || now.Before(n.pullAt) {
		return
	}
	n.pullAt = now.Add(pullInterval)
	to := n.parent
	if (to == "" || silent >= silentTimeout) && len(n.controls) > 0 {
		to = n.controls[n.config.Rand.IntN(len(n.controls))]
	}
	if to != "" {
		n.emit(out, to, Message{Kind: Pull, Revision: n.history.state.Revision, Subtree: n.AppliedInSubtree()})
	}
}

// Handle processes a message from another node.
func (n *Node) Handle(now time.Time, from vm.ID, m Message) Output {
	var out Output
	switch m.Kind {
	case Update:
		n.takeUpdate(now, from, m, &out)
	case Beat:
		n.heard(now, from)
		if m.Ask || m.Subtree != n.AppliedInSubtree() {
			n.acknowledge(from, &out)
		}
	case Ack:
		n.takeAck(now, from, m, &out)
	case Pull:
		n.takePull(now, from, m, &out)
	}
	return out
}

// heard notes a sign of life. The parent takes precedence over others.
func (n *Node) heard(now time.Time, from vm.ID) {
	if n.parent != "" && from != n.parent && n.source == n.parent && now.Sub(n.heardAt) < parentTimeout {
		return
	}
	n.source, n.heardAt = from, now
}

func (n *Node) takeUpdate(now time.Time, from vm.ID, m Message, out *Output) {
	n.heard(now, from)
	own := n.history.state.Revision
	if m.Update == nil || n.config.Control {
		return
	}
	if !n.history.apply(&m) {
		n.emit(out, from, Message{Kind: Pull, Revision: n.history.state.Revision, Subtree: n.AppliedInSubtree()})
	}
	if n.history.state.Revision > own {
		out.Applied = n.history.state
		n.forward(now, own, out)
	}
	// Acknowledged even if nothing is new: the sender repeats it otherwise.
	n.acknowledge(from, out)
}

// forward sends what follows a revision to all children.
func (n *Node) forward(now time.Time, previous uint64, out *Output) {
	for _, c := range n.children {
		from := previous
		if c.known {
			from = min(previous, max(c.applied, c.sent))
		}
		m := n.history.since(from)
		if m.Bytes > offerBytes || n.history.state.Revision > previous+1 {
			// The child may have it from another node already, above all if
			// this one was behind itself.
			c.known, c.sentAt = false, now
			n.beat(c, out)
			continue
		}
		n.sendUpdate(now, c, m, out)
	}
}

func (n *Node) sendSince(now time.Time, c *child, revision uint64, out *Output) {
	n.sendUpdate(now, c, n.history.since(revision), out)
}

func (n *Node) sendUpdate(now time.Time, c *child, m Message, out *Output) {
	c.sent, c.sentAt = n.history.state.Revision, now
	c.outstanding = m.Bytes
	n.emit(out, c.id, m)
}

// report acknowledges a subtree revision that has changed. The parent is told
// too while another node serves this one, because it waits for the subtree.
func (n *Node) report(out *Output) {
	if n.source == "" || n.reported == n.AppliedInSubtree() {
		return
	}
	n.acknowledge(n.source, out)
	if n.parent != "" && n.parent != n.source {
		n.acknowledge(n.parent, out)
	}
}

func (n *Node) acknowledge(to vm.ID, out *Output) {
	n.reported = n.AppliedInSubtree()
	n.emit(out, to, Message{Kind: Ack, Revision: n.history.state.Revision, Subtree: n.reported})
}

func (n *Node) takeAck(now time.Time, from vm.ID, m Message, out *Output) {
	c := n.childByID(from)
	if c == nil {
		return
	}
	n.acknowledged(now, c, m, out)
	if !n.config.Control {
		n.report(out)
	}
}

func (n *Node) acknowledged(now time.Time, c *child, m Message, out *Output) {
	first := !c.known
	c.known, c.applied, c.subtree = true, m.Revision, m.Subtree
	if c.applied >= c.sent {
		c.outstanding = 0
	}
	if first && c.applied < n.history.state.Revision {
		n.sendSince(now, c, c.applied, out)
	}
}

// takePull serves a node that has lost its parent and adopts it for a while.
func (n *Node) takePull(now time.Time, from vm.ID, m Message, out *Output) {
	c := n.childByID(from)
	if c == nil {
		c = &child{id: from, adopted: true}
		n.children = append(n.children, c)
		n.byID[from] = c
	}
	c.until = now.Add(adoptedFor)
	c.known, c.applied, c.subtree = true, m.Revision, m.Subtree
	if m.Revision < n.history.state.Revision {
		n.sendSince(now, c, m.Revision, out)
		return
	}
	n.beat(c, out)
}

func (n *Node) emit(out *Output, to vm.ID, m Message) {
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}
