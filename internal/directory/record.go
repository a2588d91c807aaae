package directory

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Record is the state of one process, as it reports it to control processes.
type Record struct {
	_ struct{} `cbor:",toarray"`

	// VM is the name of the process's VM. Role and Address form the key.
	VM      vm.ID
	Role    vm.Role
	Address netip.Addr
	// PacketPort is the UDP port for packets of callers.
	PacketPort uint16
	Zone       zone.ID
	// ProcessIncarnation orders the processes at one address, Revision the records of
	// one process.
	ProcessIncarnation uint64
	Revision           uint64
	Status             view.Status

	// The remaining fields are set for agents. They describe the upstream beside the
	// agent.

	Service     service.Name
	Upstream    vm.ID
	Incarnation vm.Incarnation
	Slots       int
	// WarmUpMillis is the remaining warm-up time of the upstream in milliseconds when
	// the record was made.
	WarmUpMillis int
}

// recordKey identifies the process that a record describes.
type recordKey struct {
	role    vm.Role
	address netip.Addr
}

func (r *Record) key() recordKey { return recordKey{role: r.Role, address: r.Address} }

// supersedes reports whether r is newer than other.
func (r *Record) supersedes(other *Record) bool {
	if r.ProcessIncarnation != other.ProcessIncarnation {
		return r.ProcessIncarnation > other.ProcessIncarnation
	}
	return r.Revision > other.Revision
}

// Entry is a record in the table with local metadata.
type Entry struct {
	Record
	// LastReceivedAt is when the record, or a confirmation of it, was last received.
	LastReceivedAt time.Time
	// ChangedAt is when the content last changed in this table.
	ChangedAt time.Time
	// position is the position of the table at the last change of the entry.
	position uint64
}

const (
	// failedAfter is the time without a record after which a process is marked as
	// failed. Processes send their record to each control process every few
	// syncIntervals; several in a row may be lost.
	failedAfter = 6 * time.Second
	// removedAfter is the time without a record after which the entry of a process is
	// removed. A process that is reachable again sends its record again.
	removedAfter = time.Minute
	// maxEntries bounds the memory of the table, at some hundred bytes for each entry.
	maxEntries = 16_384
)

// Table holds the latest record for each key.
type Table struct {
	entries map[recordKey]*Entry
	// position counts the changes of the table.
	position uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[recordKey]*Entry{}} }

// Position returns the number of changes of the table.
func (t *Table) Position() uint64 { return t.position }

// Put stores a record unless the table has a newer one. The same record again
// confirms that the process is running. Put reports whether the table has changed.
func (t *Table) Put(now time.Time, record *Record) bool {
	entry := t.entries[record.key()]
	if entry == nil {
		if len(t.entries) >= maxEntries {
			return false
		}
		entry = &Entry{}
		t.entries[record.key()] = entry
	} else if !record.supersedes(&entry.Record) {
		if record.ProcessIncarnation != entry.ProcessIncarnation || record.Revision != entry.Revision {
			return false
		}
		entry.LastReceivedAt = now
		if entry.Status == record.Status {
			return false
		}
		// The process was marked as failed and has sent its record again, or a control
		// process has marked it as failed.
		entry.Status, entry.ChangedAt = record.Status, now
		t.position++
		entry.position = t.position
		return true
	}
	t.position++
	*entry = Entry{Record: *record, LastReceivedAt: now, ChangedAt: now, position: t.position}
	return true
}

// AddRelayed stores a record that was received from another control process. The
// record does not confirm that its process is running. AddRelayed reports whether
// the table has changed.
func (t *Table) AddRelayed(now time.Time, record *Record) bool {
	if entry := t.entries[record.key()]; entry != nil && !record.supersedes(&entry.Record) {
		return false
	}
	return t.Put(now, record)
}

// ProcessIncarnation returns the process incarnation in the table under the key of a
// record, or 0.
func (t *Table) ProcessIncarnation(record *Record) uint64 {
	if entry := t.entries[record.key()]; entry != nil {
		return entry.ProcessIncarnation
	}
	return 0
}

// Expire marks processes as failed after failedAfter without a record, and removes
// their entries after removedAfter.
func (t *Table) Expire(now time.Time) {
	for key, entry := range t.entries {
		switch sinceReceived := now.Sub(entry.LastReceivedAt); {
		case sinceReceived > removedAfter:
			delete(t.entries, key)
			t.position++
		case sinceReceived > failedAfter && entry.Status != view.Failed && entry.Status != view.Left:
			entry.Status = view.Failed
			t.position++
			entry.position, entry.ChangedAt = t.position, now
		}
	}
}

// Entries calls visit for each entry of a role.
func (t *Table) Entries(role vm.Role, visit func(*Entry)) {
	for _, entry := range t.entries {
		if entry.Role == role {
			visit(entry)
		}
	}
}
