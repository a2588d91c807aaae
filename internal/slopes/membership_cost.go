package slopes

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// designMembers are 600 balancers, 6,000 agents and 7 control replicas.
	designMembers = 6607
	designZones   = 6
	costTicks     = 600
	costRepeats   = 20
)

// measureNode measures one node that knows the whole fleet. The records arrive
// as the joins of 6,607 processes.
func measureNode(p *printer) error {
	joins := joinBodies(p.seed, designMembers)
	before := heapBytes()
	node := membership.New(membership.Config{Self: announcement(0, designZones), Rand: rand.New(rand.NewPCG(p.seed, 1))})
	now := fleet.Epoch
	start := time.Now()
	for i, body := range joins[1:] {
		node.Handle(now, memberAddress(i+1), body)
	}
	perRecord := time.Since(start) / designMembers
	tick := tickTime(node, now)
	after := heapBytes()
	if err := p.add("membership.apply_record", designMembers, float64(perRecord.Nanoseconds()), "ns"); err != nil {
		return err
	}
	if err := p.add("membership.tick", designMembers, float64(tick.Nanoseconds()), "ns"); err != nil {
		return err
	}
	if err := p.add("membership.members_list", designMembers, float64(listTime(node).Nanoseconds()), "ns"); err != nil {
		return err
	}
	perMember := float64(after-before) / designMembers
	runtime.KeepAlive(joins)
	return p.add("membership.heap_per_record", designMembers, perMember, "B")
}

// tickTime returns the mean time of a tick over a minute of virtual time, after
// the changes that arrived with the joins have been passed on or dropped.
func tickTime(node *membership.Node, now time.Time) time.Duration {
	tick := func(count int) {
		for range count {
			now = now.Add(membership.TickInterval)
			node.Tick(now)
		}
	}
	tick(costTicks)
	start := time.Now()
	tick(costTicks)
	return time.Since(start) / costTicks
}

func listTime(node *membership.Node) time.Duration {
	start := time.Now()
	for range costRepeats {
		node.Members()
	}
	return time.Since(start) / costRepeats
}

// joinBodies returns the first message of each process of a fleet.
func joinBodies(seed uint64, count int) [][]byte {
	bodies := make([][]byte, count)
	target := []netip.AddrPort{memberAddress(0)}
	for i := range bodies {
		node := membership.New(membership.Config{
			Self: announcement(i, designZones), Seeds: target, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		node.Tick(fleet.Epoch)
		for _, s := range node.Tick(fleet.Epoch.Add(time.Second)).Sends {
			bodies[i] = s.Body
			break
		}
	}
	return bodies
}

func memberAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func announcement(i, zones int) view.Member {
	m := view.Member{
		VM: vm.ID(fmt.Sprintf("vm-%05d", i)), Role: vm.RoleUpstream, Zone: fleet.Zones(zones)[i%zones],
		Address: memberAddress(i), Incarnation: vm.Incarnation(fleet.Epoch.UnixNano()), Status: view.Ready,
	}
	if i%11 == 0 {
		m.Role = vm.RoleBalancer
		return m
	}
	m.Service = serviceName(i % designServices)
	return m
}

// heapBytes returns the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
