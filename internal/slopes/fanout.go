package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/fanout/simnet"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
)

const (
	controlReplicas = 3
	// uplinkBytesPerSecond is 1 Gbit/s.
	uplinkBytesPerSecond = 125e6
	// fanoutSettleTime lets the messages of the previous change end before the next
	// measurement starts.
	fanoutSettleTime = 10 * time.Second
	// fanoutIdleTime is the time for which the traffic without changes is counted.
	fanoutIdleTime       = 30 * time.Second
	onePercentLoss       = 0.01
	upstreamsPerBalancer = 10
)

// fanoutSizes are the numbers of subscribers in the simulated networks. At 20, 100
// and 600 the subscribers represent all processes of a fleet. The last size
// contains every process of the design fleet.
var fanoutSizes = []struct {
	nodes, zones int
	losses       []float64
}{
	{20, smallFleetZones, []float64{0, onePercentLoss}},
	{100, smallFleetZones, []float64{0, onePercentLoss}},
	{largeFleetMembers, largeFleetZones, []float64{0, onePercentLoss}},
	{designBalancers + designUpstreams, largeFleetZones, []float64{0}},
}

func measureFanout(w *rowWriter) error {
	for _, size := range fanoutSizes {
		for _, loss := range size.losses {
			for _, direct := range []bool{true, false} {
				if err := measureFanoutRun(w, size.nodes, size.zones, loss, direct); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func measureFanoutRun(w *rowWriter, nodes, zones int, loss float64, direct bool) error {
	prefix := "fanout.delegated"
	if direct {
		prefix = "fanout.direct"
	}
	if loss > 0 {
		prefix += ".loss_1pc"
	}
	network := simnet.New(simnet.Config{
		Seed: w.seed, Nodes: nodes, ControlReplicas: controlReplicas, Zones: simfleet.Zones(zones),
		Direct: direct, Loss: loss, UplinkBytesPerSecond: uplinkBytesPerSecond, State: fanoutState(nodes),
	})
	network.Run(fanoutSettleTime)
	network.ResetCounters()
	network.Run(fanoutIdleTime)
	for _, f := range linkFigures(network, ".idle", "B/s", fanoutIdleTime.Seconds()) {
		if err := w.writeRow(prefix+f.name, nodes, f.value, f.unit); err != nil {
			return err
		}
	}
	ruleChange := intent.Change{OperationID: "rule", Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: serviceName(0)}}
	importChange := intent.Change{OperationID: "import", Kind: intent.KindInventory, Inventory: fanoutInventory(nodes)}
	for _, change := range []intent.Change{ruleChange, importChange} {
		if err := measurePropagation(w, network, prefix+"."+change.OperationID, change); err != nil {
			return err
		}
	}
	if direct {
		return nil
	}
	return measurePropagationAfterDelegateFailure(w, network, prefix)
}

// measurePropagationAfterDelegateFailure measures the propagation of a change that
// is published right after the delegate of one zone has stopped, before membership
// has detected the failure. The delegate is the node that sent the most bytes.
func measurePropagationAfterDelegateFailure(w *rowWriter, network *simnet.Net, prefix string) error {
	network.ResetCounters()
	network.Run(fanoutIdleTime)
	delegate := network.Members[controlReplicas]
	for _, m := range network.Members[controlReplicas:] {
		if m.SentBytes > delegate.SentBytes {
			delegate = m
		}
	}
	delegate.Stopped = true
	change := intent.Change{OperationID: "after loss", Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: serviceName(1)}}
	revision := network.Publish(change)
	took, _ := network.RunUntil(maxWait, func() bool { return network.AllApplied(revision) })
	return w.writeRow(prefix+".silent_delegate.slowest", len(network.Members)-controlReplicas, took.Seconds(), "s")
}

// measurePropagation measures one change: the time from its commit until the last
// node has applied it, the time until the leader has received the confirmation of
// all nodes, and the bytes sent.
func measurePropagation(w *rowWriter, network *simnet.Net, name string, change intent.Change) error {
	network.ResetCounters()
	revision := network.Publish(change)
	took, _ := network.RunUntil(maxWait, func() bool { return network.AllApplied(revision) })
	nodes := len(network.Members) - controlReplicas
	if err := w.writeRow(name+".slowest", nodes, took.Seconds(), "s"); err != nil {
		return err
	}
	confirmation, _ := network.RunUntil(maxWait, func() bool { return network.Members[0].Node.AppliedInSubtree() == revision })
	if err := w.writeRow(name+".known_in_force", nodes, (took + confirmation).Seconds(), "s"); err != nil {
		return err
	}
	for _, f := range linkFigures(network, "", "B", 1) {
		if err := w.writeRow(name+f.name, nodes, f.value, f.unit); err != nil {
			return err
		}
	}
	network.Run(fanoutSettleTime)
	return nil
}

// linkFigures returns the bytes sent by the leader, and the mean and maximum of the
// bytes sent by the other nodes. It also returns the bytes of the busiest link inside a zone and of the busiest pair of
// zones.
func linkFigures(network *simnet.Net, phase, unit string, divisor float64) []figure {
	var sum, busiestNode, busiestIntraZoneLink, busiestZonePair int64
	for _, m := range network.Members[1:] {
		sum += m.SentBytes
		busiestNode = max(busiestNode, m.SentBytes)
	}
	for _, b := range network.IntraZoneBytes {
		busiestIntraZoneLink = max(busiestIntraZoneLink, b)
	}
	for _, b := range network.InterZoneBytes {
		busiestZonePair = max(busiestZonePair, b)
	}
	return []figure{
		{phase + ".leader_sent", float64(network.Members[0].SentBytes) / divisor, unit},
		{phase + ".node_sent_mean", float64(sum) / divisor / float64(len(network.Members)-1), unit},
		{phase + ".node_sent_max", float64(busiestNode) / divisor, unit},
		{phase + ".inside_link_max", float64(busiestIntraZoneLink) / divisor, unit},
		{phase + ".zone_pair_max", float64(busiestZonePair) / divisor, unit},
	}
}

// fanoutInventory returns an inventory whose size corresponds to one balancer per
// node and ten upstreams per balancer. It is at most the design inventory.
func fanoutInventory(nodes int) *intent.Inventory {
	inventory := designInventory()
	machines := min(nodes*(upstreamsPerBalancer+1), len(inventory.VMs))
	inventory.VMs = inventory.VMs[:machines]
	return inventory
}

func fanoutState(nodes int) *intent.State {
	state, _ := intent.Apply(&intent.State{}, intent.Change{
		OperationID: "first", Kind: intent.KindInventory, Inventory: fanoutInventory(nodes),
	})
	return state
}
