package directory

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Record is what a process announces about itself.
type Record struct {
	_ struct{} `cbor:",toarray"`

	// VM is the name of the machine. Role and Address make the key.
	VM      vm.ID
	Role    vm.Role
	Address netip.Addr
	// PacketPort is the UDP port for packets of callers.
	PacketPort uint16
	Zone       zone.ID
	// ProcessIncarnation orders the processes at one address, Revision the announcements
	// of one process.
	ProcessIncarnation uint64
	Revision           uint64
	Status             view.Status

	// The rest is set for agents and describes the upstream beside them.

	Service     service.Name
	Upstream    vm.ID
	Incarnation vm.Incarnation
	Slots       int
	// WarmUpMillis is how many milliseconds the upstream was still slow when the
	// record was made.
	WarmUpMillis int
}

// key is the place that a record is about.
type key struct {
	role    vm.Role
	address netip.Addr
}

func (r *Record) key() key { return key{role: r.Role, address: r.Address} }

// newer reports whether r replaces other.
func (r *Record) newer(other *Record) bool {
	if r.ProcessIncarnation != other.ProcessIncarnation {
		return r.ProcessIncarnation > other.ProcessIncarnation
	}
	return r.Revision > other.Revision
}

// Entry is a record with what is known about it here.
type Entry struct {
	Record
	// HeardAt is when the record, or a confirmation of it, last arrived.
	HeardAt time.Time
	// ChangedAt is when the content last changed here.
	ChangedAt time.Time
	// position numbers the changes of the table.
	position uint64
}

const (
	// failAfter is how long a process may be silent before it is shown as
	// failed. Processes announce themselves to each control process every few
	// askIntervals; several in a row may be lost.
	failAfter = 6 * time.Second
	// forgetAfter is when a silent process is forgotten. A process that returns
	// announces itself again.
	forgetAfter = time.Minute
	// maxEntries bounds the memory, at some hundred bytes each.
	maxEntries = 16_384
)

// Table holds the latest record of each place.
type Table struct {
	entries map[key]*Entry
	// position counts changes.
	position uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[key]*Entry{}} }

// Position counts the changes of the table.
func (t *Table) Position() uint64 { return t.position }

// Put takes a record. It reports whether the table changed.
func (t *Table) Put(now time.Time, r *Record) bool {
	e := t.entries[r.key()]
	if e == nil {
		if len(t.entries) >= maxEntries {
			return false
		}
		e = &Entry{}
		t.entries[r.key()] = e
	} else if !r.newer(&e.Record) {
		if r.ProcessIncarnation != e.ProcessIncarnation || r.Revision != e.Revision {
			return false
		}
		e.HeardAt = now
		if e.Status == r.Status {
			return false
		}
		// A process that was silent is back, or a control process has given it up.
		e.Status, e.ChangedAt = r.Status, now
		t.position++
		e.position = t.position
		return true
	}
	t.position++
	*e = Entry{Record: *r, HeardAt: now, ChangedAt: now, position: t.position}
	return true
}

// Add takes a record that was learned from another control process. It is not
// a sign of life.
func (t *Table) Add(now time.Time, r *Record) bool {
	if e := t.entries[r.key()]; e != nil && !r.newer(&e.Record) {
		return false
	}
	return t.Put(now, r)
}

// Known returns the process that the table has at the place of a record.
func (t *Table) Known(r *Record) uint64 {
	if e := t.entries[r.key()]; e != nil {
		return e.ProcessIncarnation
	}
	return 0
}

// Expire marks silent processes as failed and forgets them later.
func (t *Table) Expire(now time.Time) {
	for k, e := range t.entries {
		switch silent := now.Sub(e.HeardAt); {
		case silent > forgetAfter:
			delete(t.entries, k)
			t.position++
		case silent > failAfter && e.Status != view.Failed && e.Status != view.Left:
			e.Status = view.Failed
			t.position++
			e.position, e.ChangedAt = t.position, now
		}
	}
}

// Entries calls f for each entry of a role.
func (t *Table) Entries(role vm.Role, f func(*Entry)) {
	for _, e := range t.entries {
		if e.Role == role {
			f(e)
		}
	}
}
