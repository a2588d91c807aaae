// Package event keeps a bounded buffer of what a process did and why.
package event

import (
	"sync"
	"time"
)

// Kind says what happened.
type Kind string

// The kinds of events.
const (
	Moved    Kind = "moved"
	Refused  Kind = "refused"
	Repaired Kind = "repaired"
	Ignored  Kind = "ignored"
	Applied  Kind = "applied"
	Placed   Kind = "placed"
	// VMRemoved: a retired VM was removed from the intent.
	VMRemoved Kind = "forgotten"
)

// Event is one action of a process with its reason.
type Event struct {
	At     time.Time `json:"at"`
	Node   string    `json:"node"`
	Kind   Kind      `json:"kind"`
	Object string    `json:"object"`
	Reason string    `json:"reason"`
	// Revision is the intent revision on which the process acted.
	Revision uint64 `json:"revision"`
}

// Buffer keeps the latest events. It is safe for concurrent use.
type Buffer struct {
	mu     sync.Mutex
	node   string
	events []Event
	next   int
	total  uint64
}

// NewBuffer returns a buffer for the events of one process.
func NewBuffer(node string, capacity int) *Buffer {
	return &Buffer{node: node, events: make([]Event, 0, max(capacity, 1))}
}

// Add appends an event and drops the oldest one when the buffer is full.
func (b *Buffer) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Node = b.node
	b.total++
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
}

// List returns the kept events, oldest first.
func (b *Buffer) List() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Event, 0, len(b.events))
	list = append(list, b.events[b.next:]...)
	return append(list, b.events[:b.next]...)
}

// Total returns how many events were added since the start.
func (b *Buffer) Total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
