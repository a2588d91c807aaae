package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	linkDelay = 5 * time.Millisecond
	// changeCostTime is the time for which the traffic of one change is counted.
	changeCostTime = 10 * time.Second
	// membershipSettleTime lets the messages of earlier changes end before the
	// counters are reset.
	membershipSettleTime = 60 * time.Second
	// membershipIdleTime is the time for which the traffic without changes is
	// counted.
	membershipIdleTime = 60 * time.Second
	// maxWait limits the virtual time to wait for a condition.
	maxWait           = 3 * time.Minute
	seedMembers       = 3
	largeFleetZones   = 6
	smallFleetZones   = 3
	largeFleetMembers = 600
)

// fleetSizes are the fleets in which messages are counted. The last one is a single
// zone of the size that the design states for each of its six zones.
var fleetSizes = []struct{ members, zones int }{{20, smallFleetZones}, {100, smallFleetZones}, {largeFleetMembers, largeFleetZones}, {1100, 1}}

func measureMembership(w *rowWriter) error {
	for _, size := range fleetSizes {
		if err := measureFleet(w, size.members, size.zones); err != nil {
			return err
		}
	}
	return measureFailures(w)
}

func measureFleet(w *rowWriter, members, zones int) error {
	f := simfleet.New(w.seed, seedMembers)
	zoneIDs := simfleet.Zones(zones)
	for i := range members {
		f.Add(zoneIDs[i%zones])
	}
	figures := []figure{}
	took, _ := f.RunUntil(maxWait, func() bool { return f.AllHaveMemberCount(members) })
	figures = append(figures, figure{"membership.join_all", took.Seconds(), "s"})
	figures = append(figures, trafficFigures(f, "join_all", took)...)
	f.Run(membershipSettleTime)
	f.ResetCounters()
	f.Run(membershipIdleTime)
	figures = append(figures, trafficFigures(f, "idle", membershipIdleTime)...)
	handleNanos := float64(f.HandleTime.Nanoseconds()) / float64(f.HandledMessages)
	figures = append(figures,
		figure{"membership.idle.messages_handled", float64(f.HandledMessages) / membershipIdleTime.Seconds() / float64(members), "1/s per node"},
		figure{"membership.idle.handle", handleNanos, "ns per message"})
	idleSent := trafficFigures(f, "", membershipIdleTime)[0].value
	figures = append(figures, joinFigures(f, zoneIDs[0])...)
	figures = append(figures, changeFigures(f)...)
	figures = append(figures, changeCostFigure(f, idleSent))
	figures = append(figures, figure{"membership.body_max", float64(maxBodyBytes(f)), "B"})
	for _, fig := range figures {
		if err := w.writeRow(fig.name, members, fig.value, fig.unit); err != nil {
			return err
		}
	}
	return nil
}

// figure is a measured value with its unit.
type figure struct {
	name  string
	value float64
	unit  string
}

// trafficFigures returns the bytes per second of nodes and of links between zones
// since the last reset of the counters.
func trafficFigures(f *simfleet.Fleet, phase string, d time.Duration) []figure {
	var sum, busiestNode, busiestZonePair int64
	for _, m := range f.Members {
		sum += m.SentBytes
		busiestNode = max(busiestNode, m.SentBytes, m.ReceivedBytes)
	}
	for _, b := range f.InterZoneBytes {
		busiestZonePair = max(busiestZonePair, b)
	}
	perSecond := func(bytes int64) float64 { return float64(bytes) / d.Seconds() }
	return []figure{
		{"membership." + phase + ".sent_mean", perSecond(sum) / float64(len(f.Members)), "B/s per node"},
		{"membership." + phase + ".sent_or_received_max", perSecond(busiestNode), "B/s per node"},
		{"membership." + phase + ".zone_link_max", perSecond(busiestZonePair), "B/s per pair of zones"},
	}
}

// joinFigures adds one process. It returns the time until that process has the
// records of all others, and the time until all others have its record.
func joinFigures(f *simfleet.Fleet, zoneID zone.ID) []figure {
	count := len(f.Members) + 1
	joining := f.Add(zoneID)
	start := f.Now
	f.RunUntil(maxWait, func() bool { return joining.Node.MemberCount() == count })
	completeAfter := f.Now.Sub(start).Seconds()
	f.RunUntil(maxWait, func() bool { return f.AllHaveMemberCount(count) })
	knownEverywhere := f.Now.Sub(start).Seconds()
	return []figure{{"membership.join_one.complete", completeAfter, "s"}, {"membership.join_one.known_everywhere", knownEverywhere, "s"}}
}

// changeFigures returns the times until every member has the new status of one
// member, first when it announces that it is leaving and then when it crashes.
func changeFigures(f *simfleet.Fleet) []figure {
	var figures []figure
	changed := f.Members[len(f.Members)/2]
	leaving := changed.Node.Self()
	leaving.Status = view.Leaving
	f.ResetCounters()
	f.ProcessOutput(changed, changed.Node.Announce(f.Now, leaving))
	took, _ := f.RunUntil(maxWait, func() bool { return f.AllHaveStatus(changed, view.Leaving) })
	figures = append(figures, figure{"membership.spread_leaving", took.Seconds(), "s"})
	changed.Stopped = true
	start := f.Now
	_, _ = f.RunUntil(maxWait, func() bool { return f.AllHaveStatus(changed, view.Suspected, view.Failed) })
	figures = append(figures, figure{"membership.crash_to_suspected", f.Now.Sub(start).Seconds(), "s"})
	_, _ = f.RunUntil(maxWait, func() bool { return f.AllHaveStatus(changed, view.Failed) })
	return append(figures, figure{"membership.crash_to_failed", f.Now.Sub(start).Seconds(), "s"})
}

// changeCostFigure returns the bytes that one status change costs each node, beyond
// the traffic of an idle fleet.
func changeCostFigure(f *simfleet.Fleet, idleSent float64) figure {
	f.Run(membershipSettleTime)
	f.ResetCounters()
	changed := f.Members[0]
	leaving := changed.Node.Self()
	leaving.Status = view.Leaving
	f.ProcessOutput(changed, changed.Node.Announce(f.Now, leaving))
	f.Run(changeCostTime)
	sent := trafficFigures(f, "", changeCostTime)[0].value
	return figure{"membership.change_cost", (sent - idleSent) * changeCostTime.Seconds(), "B per node and change"}
}

func maxBodyBytes(f *simfleet.Fleet) int {
	largest := 0
	for _, m := range f.Members {
		largest = max(largest, m.MaxBodyBytes)
	}
	return largest
}
