package slopes

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	failedRackMembers   = 20
	lossyLinkTime       = 2 * time.Minute
	regionSplitTime     = 2 * time.Minute
	statusCheckInterval = time.Second
)

// measureFailures measures the failure scenarios of the design page in a fleet of
// 600 members in six zones.
func measureFailures(w *rowWriter) error {
	scenarios := []func(*rowWriter, *simfleet.Fleet) error{measureLossyLinks, measureRackLoss, measureZoneLoss, measureRegionSplit}
	for _, scenario := range scenarios {
		f := simfleet.New(w.seed, seedMembers)
		zoneIDs := simfleet.Zones(largeFleetZones)
		for i := range largeFleetMembers {
			f.Add(zoneIDs[i%largeFleetZones])
		}
		f.RunUntil(maxWait, func() bool { return f.AllHaveMemberCount(largeFleetMembers) })
		f.Run(membershipSettleTime)
		f.ResetCounters()
		if err := scenario(w, f); err != nil {
			return err
		}
	}
	return nil
}

// measureLossyLinks counts members that are falsely suspected or falsely reported
// as failed on links that lose 1 % of the messages.
func measureLossyLinks(w *rowWriter, f *simfleet.Fleet) error {
	f.LinkQuality = func(_, _ *simfleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Loss: onePercentLoss}
	}
	clearEvents(f)
	f.Run(lossyLinkTime)
	if err := w.writeRow("membership.loss_1pc.suspected", largeFleetMembers, float64(countReportedMembers(f, membership.Suspected))/lossyLinkTime.Minutes(), "VMs/min"); err != nil {
		return err
	}
	if err := w.writeRow("membership.loss_1pc.failed", largeFleetMembers, float64(countReportedMembers(f, membership.Failed))/lossyLinkTime.Minutes(), "VMs/min"); err != nil {
		return err
	}
	return w.writeRow("membership.loss_1pc.sent_mean", largeFleetMembers, trafficFigures(f, "", lossyLinkTime)[0].value, "B/s per node")
}

// countReportedMembers returns the number of members for which at least one event
// of the given kind was reported.
func countReportedMembers(f *simfleet.Fleet, kind membership.EventKind) int {
	reported := map[string]bool{}
	for _, m := range f.Members {
		for _, e := range m.Events {
			if e.Kind == kind {
				reported[string(e.VM)] = true
			}
		}
	}
	return len(reported)
}

func clearEvents(f *simfleet.Fleet) {
	for _, m := range f.Members {
		m.Events = nil
	}
}

// measureRackLoss stops a fifth of the members of a zone at the same time.
func measureRackLoss(w *rowWriter, f *simfleet.Fleet) error {
	var stopped []*simfleet.Member
	for i := 0; len(stopped) < failedRackMembers; i++ {
		if m := f.Members[len(f.Members)-1-i]; m.Zone == f.Members[0].Zone {
			m.Stopped = true
			stopped = append(stopped, m)
		}
	}
	start := f.Now
	for _, status := range [][]view.Status{{view.Suspected, view.Failed}, {view.Failed}} {
		f.RunUntil(maxWait, func() bool {
			for _, m := range stopped {
				if !f.AllHaveStatus(m, status...) {
					return false
				}
			}
			return true
		})
		name := "membership.rack_loss.to_" + string(status[0])
		if err := w.writeRow(name, largeFleetMembers, f.Now.Sub(start).Seconds(), "s"); err != nil {
			return err
		}
	}
	return w.writeRow("membership.rack_loss.sent_mean", largeFleetMembers, trafficFigures(f, "", f.Now.Sub(start))[0].value, "B/s per node")
}

// allCountStatus returns a condition: every running member has exactly count
// members with the given status.
func allCountStatus(f *simfleet.Fleet, status view.Status, count int) func() bool {
	return func() bool {
		for _, m := range f.Members {
			if !m.Stopped && m.CountWithStatus(status) != count {
				return false
			}
		}
		return true
	}
}

// runUntilWithInterval runs the fleet until the condition done holds, or until
// maxWait has passed. It checks the condition only once per second, because the
// check is expensive. It returns the virtual time in seconds.
func runUntilWithInterval(f *simfleet.Fleet, done func() bool) float64 {
	start := f.Now
	for f.Now.Sub(start) < maxWait && !done() {
		f.Run(statusCheckInterval)
	}
	return f.Now.Sub(start).Seconds()
}

// measureZoneLoss stops all members of one zone, waits until they are failed, and
// restarts them.
func measureZoneLoss(w *rowWriter, f *simfleet.Fleet) error {
	stopped := 0
	for _, m := range f.Members {
		if m.Zone == f.Members[0].Zone {
			m.Stopped = true
			stopped++
		}
	}
	took := runUntilWithInterval(f, allCountStatus(f, view.Failed, stopped))
	if err := w.writeRow("membership.zone_loss.to_failed", largeFleetMembers, took, "s"); err != nil {
		return err
	}
	for _, m := range f.Members {
		if m.Stopped {
			f.Restart(m)
		}
	}
	took = runUntilWithInterval(f, allCountStatus(f, view.Ready, largeFleetMembers))
	return w.writeRow("membership.zone_loss.return_to_ready", largeFleetMembers, took, "s")
}

// measureRegionSplit interrupts the links between regions, and measures the time
// until the fleet has recovered after the links are restored.
func measureRegionSplit(w *rowWriter, f *simfleet.Fleet) error {
	f.LinkQuality = func(a, b *simfleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Down: !a.Zone.SameRegion(b.Zone)}
	}
	clearEvents(f)
	f.Run(regionSplitTime)
	f.LinkQuality = simfleet.GoodLink
	took := runUntilWithInterval(f, allCountStatus(f, view.Ready, largeFleetMembers))
	if err := w.writeRow("membership.region_split.healed", largeFleetMembers, took, "s"); err != nil {
		return err
	}
	return w.writeRow("membership.region_split.members_failed", largeFleetMembers, float64(countReportedMembers(f, membership.Failed)), "VMs")
}
