// Package event records the actions of a process and their reasons in a bounded
// buffer.
package event

import (
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	// Moved is a kind that no code records.
	Moved Kind = "moved"
	// Refused means that an agent refused an opening, or reset a flow whose upstream
	// has failed.
	Refused Kind = "refused"
	// Repaired means that an agent restored flow records, or that the number of voters
	// in the consensus configuration changed.
	Repaired Kind = "repaired"
	// Ignored means that received or stored data was discarded, for example a
	// registration of an older incarnation or a damaged intent file.
	Ignored Kind = "ignored"
	// Applied means that an intent revision was applied or that a drain started.
	Applied Kind = "applied"
	// Placed means that an upstream was selected for a new flow.
	Placed Kind = "placed"
	// VMRemoved means that a retired VM was removed from the intent.
	VMRemoved Kind = "forgotten"
)

// Event is one action of a process and its reason.
type Event struct {
	At     time.Time `json:"at"`
	Node   string    `json:"node"`
	Kind   Kind      `json:"kind"`
	Object string    `json:"object"`
	Reason string    `json:"reason"`
	// Revision is the intent revision that the process used for the action. If the
	// action applied a revision, it is the new one.
	Revision uint64 `json:"revision"`
}

// Buffer is a ring buffer of the latest events. It is safe for concurrent use.
type Buffer struct {
	mu     sync.Mutex
	node   string
	events []Event
	// oldestIndex is the index of the oldest event. It is zero until the buffer is
	// full.
	oldestIndex int
	addedCount  uint64
}

// NewBuffer returns a buffer for the events of one process.
func NewBuffer(node string, capacity int) *Buffer {
	return &Buffer{node: node, events: make([]Event, 0, max(capacity, 1))}
}

// Add appends an event. If the buffer is full, the event replaces the oldest one.
func (b *Buffer) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Node = b.node
	b.addedCount++
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[b.oldestIndex] = e
	b.oldestIndex = (b.oldestIndex + 1) % len(b.events)
}

// List returns the events in the buffer, oldest first.
func (b *Buffer) List() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Event, 0, len(b.events))
	list = append(list, b.events[b.oldestIndex:]...)
	return append(list, b.events[:b.oldestIndex]...)
}

// Total returns the number of events added since the buffer was created.
func (b *Buffer) Total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addedCount
}
