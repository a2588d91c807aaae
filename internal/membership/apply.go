package membership

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// applyRecords merges the records of a message and returns how many records were
// inserted or updated. These are queued for gossip in the local zone. Records
// that anti-entropy with a member of the same zone delivered are not queued,
// because the other members receive them by anti-entropy as well.
func (n *Node) applyRecords(now time.Time, m *message, out *Output) int {
	updated := 0
	sender := n.records[m.Sender]
	fromZoneExchange := m.Kind == kindRecords && sender != nil && sender.zone == n.self.zone
	for _, encoded := range m.Records {
		received, err := decodeRecord(encoded)
		if err != nil {
			out.Events = append(out.Events, Event{Kind: MessageRejected, Reason: err.Error()})
			continue
		}
		received.hash = ranking.MemberHash(received.member.VM)
		changed := n.mergeRecord(now, received, out)
		if changed == nil {
			continue
		}
		updated++
		n.enqueueCrossZone(changed)
		if !fromZoneExchange {
			n.enqueueGossip(changed)
		}
	}
	return updated
}

// mergeRecord merges a received record. It returns the changed local record, or
// nil if the received record was ignored. A record is ignored if it is not newer.
// A suspicion or failure is also ignored if only a single observer reports it. A new
// zone is ignored if there are maxZones already, a new member if there are maxRecords.
func (n *Node) mergeRecord(now time.Time, received *memberRecord, out *Output) *memberRecord {
	if received.hash == n.self.hash {
		n.overrideOwnRecord(now, received, out)
		return nil
	}
	if received.liveness != alive && !received.hasTwoObservers() {
		return nil
	}
	if n.zoneByKey(zoneKey(received.member.Zone)) == nil && len(n.zones) >= maxZones {
		return nil
	}
	r := n.records[received.hash]
	if r == nil {
		return n.insertRecord(now, received, out)
	}
	if compareVersions(received.version(), r.version()) <= 0 {
		return nil
	}
	before := *r
	n.updateRecord(now, r, func() {
		r.member, r.liveness, r.observers = received.member, received.liveness, received.observers
		r.member.Service = n.internServiceName(r.member.Service)
	})
	if r.liveness == suspected {
		n.suspectedRecords = append(n.suspectedRecords, r)
	}
	n.reportChange(&before, r, out)
	return r
}

func (n *Node) insertRecord(now time.Time, received *memberRecord, out *Output) *memberRecord {
	if len(n.records) >= maxRecords {
		return nil
	}
	received.changedAt, received.lastReceivedAt = now, now
	received.member.Service = n.internServiceName(received.member.Service)
	n.records[received.hash] = received
	n.addToZone(now, received)
	received.member.Zone = received.zone.id
	n.changeCount++
	if received.liveness == suspected {
		n.suspectedRecords = append(n.suspectedRecords, received)
	}
	if received.isActive() {
		n.appendEvent(out, Joined, received, "first announcement")
	}
	return received
}

// reportChange appends the event that a change of a record amounts to.
func (n *Node) reportChange(before, r *memberRecord, out *Output) {
	switch {
	case r.member.Incarnation != before.member.Incarnation && r.isActive():
		n.appendEvent(out, Joined, r, "new incarnation")
	case r.member.Status == view.Left:
		n.appendEvent(out, Left, r, "announced by itself")
	case r.liveness == failed:
		n.appendEvent(out, Failed, r, "told by its zone")
	case r.liveness == suspected:
		n.appendEvent(out, Suspected, r, "two observers agree")
	case before.liveness != alive:
		n.appendEvent(out, Refuted, r, "higher version")
	default:
		n.appendEvent(out, Updated, r, string(r.member.Status))
	}
}

// overrideOwnRecord handles records about the local VM. A record that is newer
// than the local announcement is overridden with a higher version. This refutes
// suspicions and failures. A later incarnation is not overridden but reported.
func (n *Node) overrideOwnRecord(now time.Time, received *memberRecord, out *Output) {
	if received.member.Incarnation > n.self.member.Incarnation {
		if received.member.Incarnation > n.supersededBy {
			n.supersededBy = received.member.Incarnation
			n.appendEvent(out, OwnVMSuperseded, received, "a later incarnation announces the own VM")
		}
		return
	}
	if compareVersions(received.version(), n.self.version()) <= 0 {
		return
	}
	n.updateRecord(now, n.self, func() { n.self.member.Version = received.member.Version + 1 })
	n.enqueueChange(n.self)
	n.gossip.sendNow = true
}

// internServiceName returns one shared copy of a service name.
func (n *Node) internServiceName(name service.Name) service.Name {
	if shared, ok := n.serviceNames[name]; ok {
		return shared
	}
	n.serviceNames[name] = name
	return name
}
