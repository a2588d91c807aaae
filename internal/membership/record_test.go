package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

func newMember(id vm.ID, incarnation vm.Incarnation, version uint64, status view.Status) view.Member {
	return view.Member{
		VM: id, Role: vm.RoleUpstream, Zone: zone.ID{Region: "r", Name: "z"}, Address: netip.MustParseAddrPort("10.0.0.1:1"),
		Incarnation: incarnation, Version: version, Status: status,
	}
}

func encodedRecord(m view.Member, l liveness, observers ...vm.ID) cbor.RawMessage {
	r := &memberRecord{member: m, liveness: l}
	for i, o := range observers {
		r.observers[i] = ranking.MemberHash(o)
	}
	return encodeRecord(r)
}

// Older incarnations and versions must not replace newer records. Reports of a
// single observer must be ignored. A refuted failure must not come back. Each case
// starts from incarnation 5, version 3, ready.
func TestRecordOrder(t *testing.T) {
	ready := func(i vm.Incarnation, v uint64) view.Member { return newMember("b", i, v, view.Ready) }
	cases := map[string]struct {
		received []cbor.RawMessage
		want     view.Status
	}{
		"old incarnation":          {[]cbor.RawMessage{encodedRecord(newMember("b", 4, 9, view.Left), alive)}, view.Ready},
		"old version":              {[]cbor.RawMessage{encodedRecord(newMember("b", 5, 2, view.Leaving), alive)}, view.Ready},
		"new version":              {[]cbor.RawMessage{encodedRecord(newMember("b", 5, 4, view.Leaving), alive)}, view.Leaving},
		"new incarnation":          {[]cbor.RawMessage{encodedRecord(newMember("b", 6, 1, view.Starting), alive)}, view.Starting},
		"one observer":             {[]cbor.RawMessage{encodedRecord(ready(5, 3), suspected, "c")}, view.Ready},
		"one observer twice":       {[]cbor.RawMessage{encodedRecord(ready(5, 3), failed, "c", "c")}, view.Ready},
		"member observes itself":   {[]cbor.RawMessage{encodedRecord(ready(5, 3), failed, "c", "b")}, view.Ready},
		"two observers":            {[]cbor.RawMessage{encodedRecord(ready(5, 3), suspected, "c", "d")}, view.Suspected},
		"failure of old version":   {[]cbor.RawMessage{encodedRecord(ready(5, 2), failed, "c", "d")}, view.Ready},
		"refuted":                  {[]cbor.RawMessage{encodedRecord(ready(5, 3), failed, "c", "d"), encodedRecord(ready(5, 4), alive)}, view.Ready},
		"failed, then suspected":   {[]cbor.RawMessage{encodedRecord(ready(5, 3), failed, "c", "d"), encodedRecord(ready(5, 3), suspected, "c", "d")}, view.Failed},
		"left, then old announced": {[]cbor.RawMessage{encodedRecord(newMember("b", 5, 4, view.Left), alive), encodedRecord(ready(5, 3), alive)}, view.Left},
		"left, then returned":      {[]cbor.RawMessage{encodedRecord(newMember("b", 5, 4, view.Left), alive), encodedRecord(ready(6, 1), alive)}, view.Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Self: newMember("a", 1, 1, view.Ready), Rand: rand.New(rand.NewPCG(1, 1))})
			for _, encoded := range append([]cbor.RawMessage{encodedRecord(ready(5, 3), alive)}, c.received...) {
				n.applyRecords(n.nextExpiryCheckAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{encoded}}, &Output{})
			}
			require.Equal(t, c.want, n.StatusOf("b"))
		})
	}
}

// A process must refute records that mark it as failed or departed. It must not
// override a later incarnation of its own VM.
func TestRecordsAboutOwnProcess(t *testing.T) {
	self := newMember("a", 5, 3, view.Ready)
	cases := map[string]struct {
		received cbor.RawMessage
		version  uint64
		events   []EventKind
	}{
		"marked as failed":    {encodedRecord(self, failed, "c", "d"), 4, nil},
		"version ahead":       {encodedRecord(newMember("a", 5, 8, view.Left), alive), 9, nil},
		"old incarnation":     {encodedRecord(newMember("a", 4, 8, view.Left), alive), 3, nil},
		"later incarnation":   {encodedRecord(newMember("a", 6, 1, view.Ready), alive), 3, []EventKind{OwnVMSuperseded}},
		"version above limit": {encodedRecord(newMember("a", 5, 1<<63, view.Ready), alive), 3, []EventKind{MessageRejected}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
			var out Output
			n.applyRecords(n.nextExpiryCheckAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{c.received}}, &out)
			require.Equal(t, c.version, n.Self().Version)
			require.Equal(t, view.Ready, n.StatusOf("a"))
			var kinds []EventKind
			for _, e := range out.Events {
				kinds = append(kinds, e.Kind)
			}
			require.Equal(t, c.events, kinds)
		})
	}
}

// Forged zones and members must not make the tables and messages exceed their
// bounds.
func TestTablesAreBounded(t *testing.T) {
	n := New(Config{Self: newMember("a", 1, 1, view.Ready), Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range maxRecords + 10 {
		m := newMember(vm.ID(fmt.Sprint("vm", i)), 1, 1, view.Ready)
		m.Zone.Name = fmt.Sprint("z", i%(2*maxZones))
		n.applyRecords(n.nextExpiryCheckAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{encodedRecord(m, alive)}}, &Output{})
		n.applyRecords(n.nextExpiryCheckAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{encodedRecord(newMember(m.VM, 1, 1, view.Ready), alive)}}, &Output{})
	}
	require.Len(t, n.zones, maxZones)
	require.Equal(t, maxRecords, n.MemberCount())
	for _, m := range []*message{n.zoneDigestsMessage(), {Kind: kindPing, Seq: 1 << 31, Target: 1 << 63, ZoneHeartbeats: n.zoneHeartbeats(), Records: singleRecord(n.self)}} {
		require.LessOrEqual(t, len(encodeMessage(m))+piggybackBudgetBytes, MaxBody)
	}
}
