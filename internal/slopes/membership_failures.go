package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	rackMembers  = 20
	lossyTime    = 2 * time.Minute
	splitTime    = 2 * time.Minute
	rackInterval = time.Second
)

// measureFailures measures the failures of the design's day in a fleet of 600
// in six zones.
func measureFailures(p *printer) error {
	steps := []func(*printer, *fleet.Fleet) error{lossyLinks, rackLoss, zoneLoss, regionSplit}
	for _, step := range steps {
		f := fleet.New(p.seed, seedCount)
		names := fleet.Zones(manyZones)
		for i := range manyMembers {
			f.Add(names[i%manyZones])
		}
		f.RunUntil(waitLimit, func() bool { return f.AllSeeMembers(manyMembers) })
		f.Run(settleTime)
		f.ResetCounters()
		if err := step(p, f); err != nil {
			return err
		}
	}
	return nil
}

// lossyLinks counts false verdicts on links that lose 1 % of the messages.
func lossyLinks(p *printer, f *fleet.Fleet) error {
	f.Quality = func(_, _ *fleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Loss: smallLoss}
	}
	clearEvents(f)
	f.Run(lossyTime)
	if err := p.add("membership.loss_1pc.suspected", manyMembers, float64(subjects(f, membership.Suspected))/lossyTime.Minutes(), "VMs/min"); err != nil {
		return err
	}
	if err := p.add("membership.loss_1pc.failed", manyMembers, float64(subjects(f, membership.Failed))/lossyTime.Minutes(), "VMs/min"); err != nil {
		return err
	}
	return p.add("membership.loss_1pc.sent_mean", manyMembers, traffic(f, "", lossyTime)[0].value, "B/s per node")
}

// subjects counts the members on which there was at least one event.
func subjects(f *fleet.Fleet, kind membership.EventKind) int {
	seen := map[string]bool{}
	for _, m := range f.Members {
		for _, e := range m.Events {
			if e.Kind == kind {
				seen[string(e.VM)] = true
			}
		}
	}
	return len(seen)
}

func clearEvents(f *fleet.Fleet) {
	for _, m := range f.Members {
		m.Events = nil
	}
}

// rackLoss stops a fifth of a zone at once.
func rackLoss(p *printer, f *fleet.Fleet) error {
	var lost []*fleet.Member
	for i := 0; len(lost) < rackMembers; i++ {
		if m := f.Members[len(f.Members)-1-i]; m.Zone == f.Members[0].Zone {
			m.Stopped = true
			lost = append(lost, m)
		}
	}
	start := f.Now
	for _, status := range [][]view.Status{{view.Suspected, view.Failed}, {view.Failed}} {
		f.RunUntil(waitLimit, func() bool {
			for _, m := range lost {
				if !f.AllHaveStatus(m, status...) {
					return false
				}
			}
			return true
		})
		name := "membership.rack_loss.to_" + string(status[0])
		if err := p.add(name, manyMembers, f.Now.Sub(start).Seconds(), "s"); err != nil {
			return err
		}
	}
	return p.add("membership.rack_loss.sent_mean", manyMembers, traffic(f, "", f.Now.Sub(start))[0].value, "B/s per node")
}

func countHolding(f *fleet.Fleet, status view.Status, count int) func() bool {
	return func() bool {
		for _, m := range f.Members {
			if !m.Stopped && m.CountStatus(status) != count {
				return false
			}
		}
		return true
	}
}

// runBySecond checks an expensive condition once per second.
func runBySecond(f *fleet.Fleet, done func() bool) float64 {
	start := f.Now
	for f.Now.Sub(start) < waitLimit && !done() {
		f.Run(rackInterval)
	}
	return f.Now.Sub(start).Seconds()
}

func zoneLoss(p *printer, f *fleet.Fleet) error {
	inZone := 0
	for _, m := range f.Members {
		if m.Zone == f.Members[0].Zone {
			m.Stopped = true
			inZone++
		}
	}
	took := runBySecond(f, countHolding(f, view.Failed, inZone))
	if err := p.add("membership.zone_loss.to_failed", manyMembers, took, "s"); err != nil {
		return err
	}
	for _, m := range f.Members {
		if m.Stopped {
			f.Restart(m)
		}
	}
	took = runBySecond(f, countHolding(f, view.Ready, manyMembers))
	return p.add("membership.zone_loss.return_to_ready", manyMembers, took, "s")
}

func regionSplit(p *printer, f *fleet.Fleet) error {
	f.Quality = func(a, b *fleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Down: !a.Zone.SameRegion(b.Zone)}
	}
	clearEvents(f)
	f.Run(splitTime)
	f.Quality = fleet.GoodLink
	took := runBySecond(f, countHolding(f, view.Ready, manyMembers))
	if err := p.add("membership.region_split.healed", manyMembers, took, "s"); err != nil {
		return err
	}
	return p.add("membership.region_split.members_failed", manyMembers, float64(subjects(f, membership.Failed)), "VMs")
}
