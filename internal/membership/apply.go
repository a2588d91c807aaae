package membership

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// takeRecords applies the records of a message and returns how many were news.
// News is passed on in the own zone, except when it came from a member of the
// zone as repair: the others repair themselves in the same way.
func (n *Node) takeRecords(now time.Time, m *message, out *Output) int {
	news := 0
	sender := n.records[m.From]
	repaired := m.Kind == kindRecords && sender != nil && sender.zone == n.self.zone
	for _, raw := range m.Records {
		in, err := decodeRecord(raw)
		if err != nil {
			out.Events = append(out.Events, Event{Kind: Rejected, Reason: err.Error()})
			continue
		}
		in.hash = ranking.MemberHash(in.member.VM)
		r := n.apply(now, in, out)
		if r == nil {
			continue
		}
		news++
		n.queueCross(r)
		if !repaired {
			n.queue(r)
		}
	}
	return news
}

// apply merges a received record. It returns the changed record, or nil if the
// received one is not newer. A verdict of a single observer is ignored.
func (n *Node) apply(now time.Time, in *record, out *Output) *record {
	if in.hash == n.self.hash {
		n.refute(now, in, out)
		return nil
	}
	if in.verdict != alive && !in.agreed() {
		return nil
	}
	if n.zoneByKey(zoneKey(in.member.Zone)) == nil && len(n.zones) >= maxZones {
		return nil
	}
	r := n.records[in.hash]
	if r == nil {
		return n.insert(now, in, out)
	}
	if order(in.summary(), r.summary()) <= 0 {
		return nil
	}
	before := *r
	n.change(now, r, func() {
		r.member, r.verdict, r.observers = in.member, in.verdict, in.observers
		r.member.Service = n.intern(r.member.Service)
	})
	if r.verdict == suspected {
		n.suspects = append(n.suspects, r)
	}
	n.describe(&before, r, out)
	return r
}

func (n *Node) insert(now time.Time, in *record, out *Output) *record {
	if len(n.records) >= maxRecords {
		return nil
	}
	in.changedAt, in.heardAt = now, now
	in.member.Service = n.intern(in.member.Service)
	n.records[in.hash] = in
	n.link(now, in)
	in.member.Zone = in.zone.id
	n.changes++
	if in.verdict == suspected {
		n.suspects = append(n.suspects, in)
	}
	if in.live() {
		n.note(out, Joined, in, "first announcement")
	}
	return in
}

// describe reports what the change of a record means.
func (n *Node) describe(before, r *record, out *Output) {
	switch {
	case r.member.Incarnation != before.member.Incarnation && r.live():
		n.note(out, Joined, r, "new incarnation")
	case r.member.Status == view.Left:
		n.note(out, Left, r, "announced by itself")
	case r.verdict == failed:
		n.note(out, Failed, r, "told by its zone")
	case r.verdict == suspected:
		n.note(out, Suspected, r, "two observers agree")
	case before.verdict != alive:
		n.note(out, Refuted, r, "higher version")
	default:
		n.note(out, Updated, r, string(r.member.Status))
	}
}

// refute answers records about the own process. A verdict, or an announcement
// that is ahead of the own one, is overridden by a higher version.
func (n *Node) refute(now time.Time, in *record, out *Output) {
	if in.member.Incarnation > n.self.member.Incarnation {
		if in.member.Incarnation > n.supersededBy {
			n.supersededBy = in.member.Incarnation
			n.note(out, Superseded, in, "a later incarnation announces the own VM")
		}
		return
	}
	if order(in.summary(), n.self.summary()) <= 0 {
		return
	}
	n.change(now, n.self, func() { n.self.member.Version = in.member.Version + 1 })
	n.spread(n.self)
	n.gossip.urgent = true
}

// intern returns one shared copy of a service name.
func (n *Node) intern(name service.Name) service.Name {
	if known, ok := n.names[name]; ok {
		return known
	}
	n.names[name] = name
	return name
}
