package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	linkDelay   = 5 * time.Millisecond
	changeTime  = 10 * time.Second
	settleTime  = 60 * time.Second
	idleTime    = 60 * time.Second
	waitLimit   = 3 * time.Minute
	seedCount   = 3
	manyZones   = 6
	fewZones    = 3
	manyMembers = 600
)

// fleetSizes are the sizes at which messages are counted. The last one is a
// single zone of the size that the design states for each of its six zones.
var fleetSizes = []struct{ members, zones int }{{20, fewZones}, {100, fewZones}, {manyMembers, manyZones}, {1100, 1}}

func measureMembership(p *printer) error {
	for _, size := range fleetSizes {
		if err := measureFleet(p, size.members, size.zones); err != nil {
			return err
		}
	}
	return measureFailures(p)
}

func measureFleet(p *printer, members, zones int) error {
	f := fleet.New(p.seed, seedCount)
	names := fleet.Zones(zones)
	for i := range members {
		f.Add(names[i%zones])
	}
	figures := []figure{}
	took, _ := f.RunUntil(waitLimit, func() bool { return f.AllSeeMembers(members) })
	figures = append(figures, figure{"membership.join_all", took.Seconds(), "s"})
	figures = append(figures, traffic(f, "join_all", took)...)
	f.Run(settleTime)
	f.ResetCounters()
	f.Run(idleTime)
	figures = append(figures, traffic(f, "idle", idleTime)...)
	handle := float64(f.HandleTime.Nanoseconds()) / float64(f.Handled)
	figures = append(figures,
		figure{"membership.idle.messages_handled", float64(f.Handled) / idleTime.Seconds() / float64(members), "1/s per node"},
		figure{"membership.idle.handle", handle, "ns per message"})
	idle := traffic(f, "", idleTime)[0].value
	figures = append(figures, joinOne(f, names[0])...)
	figures = append(figures, changes(f)...)
	figures = append(figures, changeCost(f, idle))
	figures = append(figures, figure{"membership.body_max", float64(largestBody(f)), "B"})
	for _, x := range figures {
		if err := p.add(x.name, members, x.value, x.unit); err != nil {
			return err
		}
	}
	return nil
}

type figure struct {
	name  string
	value float64
	unit  string
}

// traffic returns the bytes per second of nodes and links since the reset.
func traffic(f *fleet.Fleet, phase string, d time.Duration) []figure {
	var sum, most, between int64
	for _, m := range f.Members {
		sum += m.Sent
		most = max(most, m.Sent, m.Received)
	}
	for _, b := range f.InterZoneBytes {
		between = max(between, b)
	}
	perSecond := func(bytes int64) float64 { return float64(bytes) / d.Seconds() }
	return []figure{
		{"membership." + phase + ".sent_mean", perSecond(sum) / float64(len(f.Members)), "B/s per node"},
		{"membership." + phase + ".sent_or_received_max", perSecond(most), "B/s per node"},
		{"membership." + phase + ".zone_link_max", perSecond(between), "B/s per pair of zones"},
	}
}

// joinOne returns the times in which one more process knows all others, and in
// which all others know it.
func joinOne(f *fleet.Fleet, z zone.ID) []figure {
	count := len(f.Members) + 1
	added := f.Add(z)
	start := f.Now
	f.RunUntil(waitLimit, func() bool { return added.Node.Size() == count })
	complete := f.Now.Sub(start).Seconds()
	f.RunUntil(waitLimit, func() bool { return f.AllSeeMembers(count) })
	known := f.Now.Sub(start).Seconds()
	return []figure{{"membership.join_one.complete", complete, "s"}, {"membership.join_one.known_everywhere", known, "s"}}
}

// changes returns the times in which one change reaches every member.
func changes(f *fleet.Fleet) []figure {
	var figures []figure
	subject := f.Members[len(f.Members)/2]
	leaving := subject.Node.Self()
	leaving.Status = view.Leaving
	f.ResetCounters()
	f.Do(subject, subject.Node.Announce(f.Now, leaving))
	took, _ := f.RunUntil(waitLimit, func() bool { return f.AllHaveStatus(subject, view.Leaving) })
	figures = append(figures, figure{"membership.spread_leaving", took.Seconds(), "s"})
	subject.Stopped = true
	start := f.Now
	_, _ = f.RunUntil(waitLimit, func() bool { return f.AllHaveStatus(subject, view.Suspected, view.Failed) })
	figures = append(figures, figure{"membership.crash_to_suspected", f.Now.Sub(start).Seconds(), "s"})
	_, _ = f.RunUntil(waitLimit, func() bool { return f.AllHaveStatus(subject, view.Failed) })
	return append(figures, figure{"membership.crash_to_failed", f.Now.Sub(start).Seconds(), "s"})
}

// changeCost returns the bytes beyond idle that one change costs each node.
func changeCost(f *fleet.Fleet, idle float64) figure {
	f.Run(settleTime)
	f.ResetCounters()
	subject := f.Members[0]
	leaving := subject.Node.Self()
	leaving.Status = view.Leaving
	f.Do(subject, subject.Node.Announce(f.Now, leaving))
	f.Run(changeTime)
	sent := traffic(f, "", changeTime)[0].value
	return figure{"membership.change_cost", (sent - idle) * changeTime.Seconds(), "B per node and change"}
}

func largestBody(f *fleet.Fleet) int {
	largest := 0
	for _, m := range f.Members {
		largest = max(largest, m.MaxBody)
	}
	return largest
}
