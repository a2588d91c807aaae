package fanout

import (
	"math/rand/v2"
	"time"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// TickInterval is the interval between calls of Tick.
const TickInterval = 100 * time.Millisecond

const (
	// DefaultTreeDegree is the maximum number of children of a node in the tree.
	// With 12, the 100 balancers of a zone of 1,100 members are its only inner
	// nodes, and the depth is three.
	DefaultTreeDegree = 12

	heartbeatInterval = 1500 * time.Millisecond
	// retransmitTimeout must exceed a round trip between regions. It is extended
	// by the time that unacknowledged bytes take at assumedBytesPerSecond. With a
	// fixed timeout, a direct import to 600 nodes was sent seven times.
	retransmitTimeout     = 300 * time.Millisecond
	assumedBytesPerSecond = 10e6
	// maxUnannouncedBytes is the maximum size of an update that is sent without
	// first requesting the child's revision.
	maxUnannouncedBytes = 16 << 10
	// A node that has received neither heartbeat nor update pulls from its parent
	// after pullFromParentAfter, and from a control replica after
	// pullFromControlAfter. One lost heartbeat must not cause a pull from a control
	// replica. With 4 s, a node whose parent has failed receives a revision within
	// 5 s; the limit is 8 s.
	pullFromParentAfter  = 2 * time.Second
	pullFromControlAfter = 4 * time.Second
	pullInterval         = 2 * time.Second
	// adoptionPeriod is how long a node that sent a pull receives updates without
	// being a child in the tree. It must outlast a lost pull.
	adoptionPeriod = 3 * pullInterval
	// maxLoggedChanges is the maximum number of changes that a node keeps for
	// deltas. At 650 changes a day it covers more than one day.
	maxLoggedChanges = 1024
	// maxLoggedBytes limits their total size, because a change can contain a whole
	// inventory.
	maxLoggedBytes = 4 << 20
)

// Kind is the kind of a message.
type Kind string

// The kinds of messages.
const (
	// Update contains the changes or the snapshot up to a later revision.
	Update Kind = "update"
	// Ack contains the revisions that the sender and its subtree have applied.
	Ack Kind = "ack"
	// Heartbeat contains the revision of the sender, and the subtree revision that
	// the receiver last acknowledged to it.
	Heartbeat Kind = "beat"
	// Pull requests the changes after a revision, and later updates for
	// adoptionPeriod.
	Pull Kind = "pull"
)

// Message is a message between two nodes.
type Message struct {
	Kind            Kind   `json:"kind"`
	Revision        uint64 `json:"revision"`
	SubtreeRevision uint64 `json:"subtree,omitempty"`
	// RequestAck is set in a heartbeat if the sender needs an acknowledgement before
	// it sends an update.
	RequestAck bool                     `json:"ask,omitempty"`
	Update     *controlapi.IntentUpdate `json:"update,omitempty"`
	// UpdateBytes is the encoded size of the update, from which the sender selects
	// delta or snapshot. Transport adapters set it on received messages; 0 means
	// that the size is unknown.
	UpdateBytes int `json:"-"`
}

// Size estimates the encoded size in bytes without encoding the update.
func (m *Message) Size() int { return messageOverheadBytes + m.UpdateBytes }

// messageOverheadBytes is the encoded size of the fields other than the update.
const messageOverheadBytes = 50

// OutgoingMessage is a message and its receiver.
type OutgoingMessage struct {
	To      vm.ID
	Message Message
}

// Output holds the messages to send and the state that one call applied.
type Output struct {
	Messages []OutgoingMessage
	// Applied is the latest state if the call changed it, or nil.
	Applied *intent.State
}

// Config configures a Node.
type Config struct {
	Self vm.ID
	Zone zone.ID
	// IsControlReplica is set on control replicas. They receive revisions from the
	// replicated log and respond to pulls.
	IsControlReplica bool
	// TreeDegree is the maximum number of children. Zero selects DefaultTreeDegree.
	TreeDegree int
	// SendDirect makes the leader send to every node, without trees. It exists for
	// the comparison in docs/decisions/fanout.md.
	SendDirect bool
	Rand       *rand.Rand
	// Replay applies a change to a state. Nil selects intent.Replay. Simulations use
	// a function that shares results between nodes, because an import of 6,600 VMs
	// takes long to apply.
	Replay func(*intent.State, intent.Change) (*intent.State, error)
}
