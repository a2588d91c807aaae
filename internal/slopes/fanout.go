package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/fanout/simnet"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
)

const (
	controlReplicas = 3
	// uplinkBytes is 1 Gbit/s.
	uplinkBytes      = 125e6
	fanoutSettle     = 10 * time.Second
	fanoutIdle       = 30 * time.Second
	smallLoss        = 0.01
	upstreamsPerNode = 10
)

// fanoutSizes: at 20, 100 and 600 the subscribers stand for all processes; the
// last size is the whole fleet.
var fanoutSizes = []struct {
	nodes, zones int
	losses       []float64
}{
	{20, fewZones, []float64{0, smallLoss}},
	{100, fewZones, []float64{0, smallLoss}},
	{manyMembers, manyZones, []float64{0, smallLoss}},
	{designBalancers + designUpstreams, manyZones, []float64{0}},
}

func measureFanout(p *printer) error {
	for _, size := range fanoutSizes {
		for _, loss := range size.losses {
			for _, direct := range []bool{true, false} {
				if err := compareFanout(p, size.nodes, size.zones, loss, direct); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func compareFanout(p *printer, nodes, zones int, loss float64, direct bool) error {
	prefix := "fanout.delegated"
	if direct {
		prefix = "fanout.direct"
	}
	if loss > 0 {
		prefix += ".loss_1pc"
	}
	n := simnet.New(simnet.Config{
		Seed: p.seed, Nodes: nodes, Control: controlReplicas, Zones: fleet.Zones(zones),
		Direct: direct, Loss: loss, Uplink: uplinkBytes, State: fanoutState(nodes),
	})
	n.Run(fanoutSettle)
	n.ResetCounters()
	n.Run(fanoutIdle)
	for _, f := range links(n, ".idle", "B/s", fanoutIdle.Seconds()) {
		if err := p.add(prefix+f.name, nodes, f.value, f.unit); err != nil {
			return err
		}
	}
	rule := intent.Change{OperationID: "rule", Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: serviceName(0)}}
	inventory := intent.Change{OperationID: "import", Kind: intent.KindInventory, Inventory: fanoutInventory(nodes)}
	for _, c := range []intent.Change{rule, inventory} {
		if err := spread(p, n, prefix+"."+c.OperationID, c); err != nil {
			return err
		}
	}
	if direct {
		return nil
	}
	return spreadPastSilentDelegate(p, n, prefix)
}

// spreadPastSilentDelegate measures a change right after the loss of the
// delegate of one zone, before membership has noticed it.
func spreadPastSilentDelegate(p *printer, n *simnet.Net, prefix string) error {
	n.ResetCounters()
	n.Run(fanoutIdle)
	lost := n.Members[controlReplicas]
	for _, m := range n.Members[controlReplicas:] {
		if m.Sent > lost.Sent {
			lost = m
		}
	}
	lost.Stopped = true
	c := intent.Change{OperationID: "after loss", Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: serviceName(1)}}
	revision := n.Publish(c)
	took, _ := n.RunUntil(waitLimit, func() bool { return n.AllAt(revision) })
	return p.add(prefix+".silent_delegate.slowest", len(n.Members)-controlReplicas, took.Seconds(), "s")
}

// spread measures one change from its commit to the last node.
func spread(p *printer, n *simnet.Net, name string, c intent.Change) error {
	n.ResetCounters()
	revision := n.Publish(c)
	took, _ := n.RunUntil(waitLimit, func() bool { return n.AllAt(revision) })
	nodes := len(n.Members) - controlReplicas
	if err := p.add(name+".slowest", nodes, took.Seconds(), "s"); err != nil {
		return err
	}
	inForce, _ := n.RunUntil(waitLimit, func() bool { return n.Members[0].Node.AppliedInSubtree() == revision })
	if err := p.add(name+".known_in_force", nodes, (took + inForce).Seconds(), "s"); err != nil {
		return err
	}
	for _, f := range links(n, "", "B", 1) {
		if err := p.add(name+f.name, nodes, f.value, f.unit); err != nil {
			return err
		}
	}
	n.Run(fanoutSettle)
	return nil
}

// links returns the bytes of the leader, the busiest other node, the busiest
// link inside a zone and the busiest pair of zones.
func links(n *simnet.Net, phase, unit string, divisor float64) []figure {
	var sum, most, inside, between int64
	for _, m := range n.Members[1:] {
		sum += m.Sent
		most = max(most, m.Sent)
	}
	for _, b := range n.IntraZoneBytes {
		inside = max(inside, b)
	}
	for _, b := range n.InterZoneBytes {
		between = max(between, b)
	}
	return []figure{
		{phase + ".leader_sent", float64(n.Members[0].Sent) / divisor, unit},
		{phase + ".node_sent_mean", float64(sum) / divisor / float64(len(n.Members)-1), unit},
		{phase + ".node_sent_max", float64(most) / divisor, unit},
		{phase + ".inside_link_max", float64(inside) / divisor, unit},
		{phase + ".zone_pair_max", float64(between) / divisor, unit},
	}
}

// fanoutInventory has ten upstreams per balancer, up to the size of the design.
func fanoutInventory(nodes int) *intent.Inventory {
	inventory := designInventory()
	machines := min(nodes*(upstreamsPerNode+1), len(inventory.Machines))
	inventory.Machines = inventory.Machines[:machines]
	return inventory
}

func fanoutState(nodes int) *intent.State {
	state, _ := intent.Apply(&intent.State{}, intent.Change{
		OperationID: "first", Kind: intent.KindInventory, Inventory: fanoutInventory(nodes),
	})
	return state
}
