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

func testMember(id vm.ID, incarnation vm.Incarnation, version uint64, status view.Status) view.Member {
	return view.Member{
		VM: id, Role: vm.RoleUpstream, Zone: zone.ID{Region: "r", Name: "z"}, Address: netip.MustParseAddrPort("10.0.0.1:1"),
		Incarnation: incarnation, Version: version, Status: status,
	}
}

func testRecord(m view.Member, v verdict, observers ...vm.ID) cbor.RawMessage {
	r := &record{member: m, verdict: v}
	for i, o := range observers {
		r.observers[i] = ranking.MemberHash(o)
	}
	return encodeRecord(r)
}

// Guards against stale incarnations and versions that replace newer records,
// against verdicts of a single observer, and against a verdict that outlives
// its refutation. Each case starts from incarnation 5, version 3, ready.
func TestRecordOrder(t *testing.T) {
	ready := func(i vm.Incarnation, v uint64) view.Member { return testMember("b", i, v, view.Ready) }
	cases := map[string]struct {
		received []cbor.RawMessage
		want     view.Status
	}{
		"old incarnation":          {[]cbor.RawMessage{testRecord(testMember("b", 4, 9, view.Left), alive)}, view.Ready},
		"old version":              {[]cbor.RawMessage{testRecord(testMember("b", 5, 2, view.Leaving), alive)}, view.Ready},
		"new version":              {[]cbor.RawMessage{testRecord(testMember("b", 5, 4, view.Leaving), alive)}, view.Leaving},
		"new incarnation":          {[]cbor.RawMessage{testRecord(testMember("b", 6, 1, view.Starting), alive)}, view.Starting},
		"one observer":             {[]cbor.RawMessage{testRecord(ready(5, 3), suspected, "c")}, view.Ready},
		"one observer twice":       {[]cbor.RawMessage{testRecord(ready(5, 3), failed, "c", "c")}, view.Ready},
		"member observes itself":   {[]cbor.RawMessage{testRecord(ready(5, 3), failed, "c", "b")}, view.Ready},
		"two observers":            {[]cbor.RawMessage{testRecord(ready(5, 3), suspected, "c", "d")}, view.Suspected},
		"verdict on old version":   {[]cbor.RawMessage{testRecord(ready(5, 2), failed, "c", "d")}, view.Ready},
		"refuted":                  {[]cbor.RawMessage{testRecord(ready(5, 3), failed, "c", "d"), testRecord(ready(5, 4), alive)}, view.Ready},
		"failed, then suspected":   {[]cbor.RawMessage{testRecord(ready(5, 3), failed, "c", "d"), testRecord(ready(5, 3), suspected, "c", "d")}, view.Failed},
		"left, then old announced": {[]cbor.RawMessage{testRecord(testMember("b", 5, 4, view.Left), alive), testRecord(ready(5, 3), alive)}, view.Left},
		"left, then returned":      {[]cbor.RawMessage{testRecord(testMember("b", 5, 4, view.Left), alive), testRecord(ready(6, 1), alive)}, view.Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Self: testMember("a", 1, 1, view.Ready), Rand: rand.New(rand.NewPCG(1, 1))})
			for _, raw := range append([]cbor.RawMessage{testRecord(ready(5, 3), alive)}, c.received...) {
				n.takeRecords(n.sweepAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{raw}}, &Output{})
			}
			require.Equal(t, c.want, n.StatusOf("b"))
		})
	}
}

// Guards against a process that accepts a verdict on itself, or that
// overrides a later incarnation of its own VM.
func TestOwnRecord(t *testing.T) {
	self := testMember("a", 5, 3, view.Ready)
	cases := map[string]struct {
		received cbor.RawMessage
		version  uint64
		events   []EventKind
	}{
		"verdict":            {testRecord(self, failed, "c", "d"), 4, nil},
		"version ahead":      {testRecord(testMember("a", 5, 8, view.Left), alive), 9, nil},
		"old incarnation":    {testRecord(testMember("a", 4, 8, view.Left), alive), 3, nil},
		"later incarnation":  {testRecord(testMember("a", 6, 1, view.Ready), alive), 3, []EventKind{Superseded}},
		"version at the end": {testRecord(testMember("a", 5, 1<<63, view.Ready), alive), 3, []EventKind{Rejected}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
			var out Output
			n.takeRecords(n.sweepAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{c.received}}, &out)
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

// Guards against memory and messages that grow with made-up zones and members.
func TestTablesAreBounded(t *testing.T) {
	n := New(Config{Self: testMember("a", 1, 1, view.Ready), Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range maxRecords + 10 {
		m := testMember(vm.ID(fmt.Sprint("vm", i)), 1, 1, view.Ready)
		m.Zone.Name = fmt.Sprint("z", i%(2*maxZones))
		n.takeRecords(n.sweepAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{testRecord(m, alive)}}, &Output{})
		n.takeRecords(n.sweepAt, &message{Kind: kindGossip, Records: []cbor.RawMessage{testRecord(testMember(m.VM, 1, 1, view.Ready), alive)}}, &Output{})
	}
	require.Len(t, n.zones, maxZones)
	require.Equal(t, maxRecords, n.Size())
	for _, m := range []*message{n.digestMessage(), {Kind: kindPing, Seq: 1 << 31, Target: 1 << 63, Stamps: n.stamps(), Records: wireOf(n.self)}} {
		require.LessOrEqual(t, len(encode(m))+piggybackBytes, MaxBody)
	}
}
