package slopes

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// designMembers are 600 balancers, 6,000 agents and 7 control replicas.
	designMembers  = 6607
	designZones    = 6
	tickRuns       = 600
	memberListRuns = 20
)

// measureMembershipNode measures one node that has the records of the whole fleet.
// It receives the records of a fleet of 6,607 processes as join messages.
func measureMembershipNode(w *rowWriter) error {
	joins := joinMessages(w.seed, designMembers)
	before := liveHeapBytes()
	node := membership.New(membership.Config{Self: memberRecord(0, designZones), Rand: rand.New(rand.NewPCG(w.seed, 1))})
	now := simfleet.StartTime
	start := time.Now()
	for i, body := range joins[1:] {
		node.Handle(now, memberAddress(i+1), body)
	}
	perRecord := time.Since(start) / designMembers
	tick := meanTickTime(node, now)
	after := liveHeapBytes()
	if err := w.writeRow("membership.apply_record", designMembers, float64(perRecord.Nanoseconds()), "ns"); err != nil {
		return err
	}
	if err := w.writeRow("membership.tick", designMembers, float64(tick.Nanoseconds()), "ns"); err != nil {
		return err
	}
	if err := w.writeRow("membership.members_list", designMembers, float64(meanListTime(node).Nanoseconds()), "ns"); err != nil {
		return err
	}
	perMember := float64(after-before) / designMembers
	runtime.KeepAlive(joins)
	return w.writeRow("membership.heap_per_record", designMembers, perMember, "B")
}

// meanTickTime returns the mean processor time of a tick over a minute of virtual
// time. It runs the same number of ticks beforehand. During these, the changes that
// arrived with the joins are forwarded or dropped.
func meanTickTime(node *membership.Node, now time.Time) time.Duration {
	runTicks := func(count int) {
		for range count {
			now = now.Add(membership.TickInterval)
			node.Tick(now)
		}
	}
	runTicks(tickRuns)
	start := time.Now()
	runTicks(tickRuns)
	return time.Since(start) / tickRuns
}

func meanListTime(node *membership.Node) time.Duration {
	start := time.Now()
	for range memberListRuns {
		node.Members()
	}
	return time.Since(start) / memberListRuns
}

// joinMessages returns the first message of each process of a fleet.
func joinMessages(seed uint64, count int) [][]byte {
	bodies := make([][]byte, count)
	seeds := []netip.AddrPort{memberAddress(0)}
	for i := range bodies {
		node := membership.New(membership.Config{
			Self: memberRecord(i, designZones), Seeds: seeds, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		node.Tick(simfleet.StartTime)
		for _, s := range node.Tick(simfleet.StartTime.Add(time.Second)).Messages {
			bodies[i] = s.Body
			break
		}
	}
	return bodies
}

func memberAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 7000)
}

func memberRecord(index, zones int) view.Member {
	record := view.Member{
		VM: vm.ID(fmt.Sprintf("vm-%05d", index)), Role: vm.RoleUpstream, Zone: simfleet.Zones(zones)[index%zones],
		Address: memberAddress(index), Incarnation: vm.Incarnation(simfleet.StartTime.UnixNano()), Status: view.Ready,
	}
	if index%11 == 0 {
		record.Role = vm.RoleBalancer
		return record
	}
	record.Service = serviceName(index % designServices)
	return record
}

// liveHeapBytes returns the size of the live heap after garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var memStats runtime.MemStats
	runtime.ReadMemStats(&memStats)
	return int64(memStats.HeapAlloc)
}
