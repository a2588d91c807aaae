package fanout

import (
	"math/rand/v2"
	"time"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// TickInterval is how often Tick must be called.
const TickInterval = 100 * time.Millisecond

const (
	// DefaultDegree bounds the members that one node sends to. With 12 the
	// 100 balancers of a zone of 1,100 are the only inner nodes, and the depth
	// is three.
	DefaultDegree = 12

	beatInterval = 1500 * time.Millisecond
	// resendTimeout must exceed a round trip between regions. What is on its
	// way is assumed to drain at assumedRate bytes per second: with a fixed
	// timeout a direct import to 600 nodes was sent seven times.
	resendTimeout = 300 * time.Millisecond
	assumedRate   = 10e6
	// offerBytes is the size above which a child is asked for its revision
	// before it is sent an update.
	offerBytes = 16 << 10
	// parentTimeout and silentTimeout: one lost beat must not start a request.
	// With 4 s a node whose parent is lost has a revision within 5 s, and the
	// target is 8 s.
	parentTimeout = 2 * time.Second
	silentTimeout = 4 * time.Second
	pullInterval  = 2 * time.Second
	// adoptedFor is how long a node that asked directly is sent revisions.
	adoptedFor = 3 * pullInterval
	// keptChanges bounds the changes that a node keeps for deltas: more than a
	// day at 650 changes a day.
	keptChanges = 1024
	// keptBytes bounds them by size, because a change can be an inventory.
	keptBytes = 4 << 20
)

// Kind says what a message is.
type Kind string

// The kinds of messages.
const (
	// Update brings the receiver to a later revision.
	Update Kind = "update"
	// Ack says which revision the sender and its subtree have applied.
	Ack Kind = "ack"
	// Beat says that the sender is alive, and its revision.
	Beat Kind = "beat"
	// Pull asks for everything after a revision and for later revisions.
	Pull Kind = "pull"
)

// Message is what two nodes exchange.
type Message struct {
	Kind     Kind   `json:"kind"`
	Revision uint64 `json:"revision"`
	Subtree  uint64 `json:"subtree,omitempty"`
	// Ask is set in a beat if the sender has no acknowledgement yet.
	Ask    bool                     `json:"ask,omitempty"`
	Update *controlapi.IntentUpdate `json:"update,omitempty"`
	// Bytes is the encoded size of the update, for the choice of delta or
	// snapshot. Adapters set it from what they received; 0 is not known.
	Bytes int `json:"-"`
}

// Size estimates the encoded size in bytes without encoding an update again.
func (m *Message) Size() int { return messageBytes + m.Bytes }

const messageBytes = 50

// Send is a message for one node.
type Send struct {
	To      vm.ID
	Message Message
}

// Output is what one call decided.
type Output struct {
	Sends []Send
	// Applied is the latest state if a call changed it.
	Applied *intent.State
}

// Config describes the own process.
type Config struct {
	Self vm.ID
	Zone zone.ID
	// Control is set for control replicas; they get revisions from the log
	// and answer requests.
	Control bool
	// Degree is DefaultDegree if zero.
	Degree int
	// Direct makes the leader send to every node. It exists for the
	// comparison in docs/decisions/fanout.md.
	Direct bool
	Rand   *rand.Rand
	// Replay is intent.Replay if nil. Simulations replace it by one that shares
	// results, because an import of 6,600 VMs takes long to apply.
	Replay func(*intent.State, intent.Change) (*intent.State, error)
}
