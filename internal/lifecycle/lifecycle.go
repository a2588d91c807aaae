// Package lifecycle decides when a retired VM can be forgotten. It does no I/O:
// it takes the time, the intent and what the membership knows.
package lifecycle

import (
	"fmt"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// LeftAfter is how long a VM must be known to have left. A process that
	// started again in the meantime is known within that time.
	LeftAfter = 30 * time.Second
	// RemoveFailedAfter is how long a VM must be failed or not seen. The membership
	// also shows VMs behind a partition as failed, and they may hold flows; it
	// exceeds the longest partition that the failure model has (minutes).
	RemoveFailedAfter = time.Hour
	// ReviewInterval is how often Review is to be called.
	ReviewInterval = 10 * time.Second
	// ProposeInterval bounds how often a change is proposed. Each one makes a
	// revision, with which a concurrent change of an operator conflicts.
	ProposeInterval = 5 * time.Minute
	// maxReviewGap is how long Review may pause. After a longer pause the VMs
	// could have been alive in between.
	maxReviewGap = 6 * ReviewInterval
)

// absence says why a VM counts as gone.
type absence string

const (
	left    absence = "left"
	failed  absence = "failed"
	notSeen absence = "not seen"
)

type sighting struct {
	absence absence
	since   time.Time
}

// Tracker follows the retired VMs. It is used from one goroutine at a time.
type Tracker struct {
	sightings  map[vm.ID]sighting
	reviewedAt time.Time
	proposedAt time.Time
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker { return &Tracker{sightings: map[vm.ID]sighting{}} }

// Review takes what the membership knows now. It must be called on every
// replica, so that a new leader need not wait anew.
func (t *Tracker) Review(now time.Time, state *intent.State, members []view.Member) {
	if t.reviewedAt.IsZero() || now.Sub(t.reviewedAt) > maxReviewGap || now.Before(t.reviewedAt) {
		clear(t.sightings)
	}
	t.reviewedAt = now
	known := make(map[vm.ID]view.Status, len(members))
	for i := range members {
		known[members[i].VM] = members[i].Status
	}
	seen := visibleZones(state, known)
	current := make(map[vm.ID]sighting)
	for i := range state.VMs {
		machine := &state.VMs[i]
		if machine.Status != intent.Retired {
			continue
		}
		why, gone := absent(known, machine, seen)
		if !gone {
			continue
		}
		before, ok := t.sightings[machine.ID]
		if !ok || before.absence != why && (before.absence == left || why == left) {
			before.since = now
		}
		current[machine.ID] = sighting{absence: why, since: before.since}
	}
	t.sightings = current
}

// absent reports whether a VM is gone, as far as the membership can tell. In a
// zone of which nothing is seen only a VM that said so has left.
func absent(known map[vm.ID]view.Status, machine *intent.VM, seen map[zone.ID]bool) (absence, bool) {
	status, ok := known[machine.ID]
	switch {
	case ok && status == view.Left:
		return left, true
	case !seen[machine.Zone]:
		return "", false
	case !ok:
		return notSeen, true
	case status == view.Failed:
		return failed, true
	}
	return "", false
}

// visibleZones returns the zones in which a VM of the inventory is alive. A zone
// in which the inventory has none left is visible as long as another one is.
// Control VMs do not count: each one sees itself, even if it sees nothing else.
func visibleZones(state *intent.State, known map[vm.ID]view.Status) map[zone.ID]bool {
	seen := map[zone.ID]bool{}
	visible := false
	for i := range state.VMs {
		machine := &state.VMs[i]
		if machine.Status == intent.Retired || machine.Role == vm.RoleControl {
			continue
		}
		alive := isAlive(known[machine.ID])
		seen[machine.Zone] = seen[machine.Zone] || alive
		visible = visible || alive
	}
	for i := range state.VMs {
		if _, listed := seen[state.VMs[i].Zone]; !listed {
			seen[state.VMs[i].Zone] = visible
		}
	}
	return seen
}

func isAlive(status view.Status) bool {
	return status != "" && status != view.Failed && status != view.Left
}

// Propose returns the VMs to remove now, at most intent.MaxRemovals, and
// remembers when it did. The caller must lead.
func (t *Tracker) Propose(now time.Time, state *intent.State) []intent.RemovedVM {
	if !t.proposedAt.IsZero() && now.Sub(t.proposedAt) < ProposeInterval {
		return nil
	}
	var due []intent.RemovedVM
	for i := range state.VMs {
		seen, ok := t.sightings[state.VMs[i].ID]
		if !ok || state.VMs[i].Status != intent.Retired || now.Sub(seen.since) < seen.wait() {
			continue
		}
		due = append(due, intent.RemovedVM{VM: state.VMs[i].ID, Reason: seen.reason(now)})
		if len(due) == intent.MaxRemovals {
			break
		}
	}
	if len(due) > 0 {
		t.proposedAt = now
	}
	return due
}

func (s sighting) wait() time.Duration {
	if s.absence == left {
		return LeftAfter
	}
	return RemoveFailedAfter
}

func (s sighting) reason(now time.Time) string {
	if s.absence == left {
		return string(left)
	}
	return fmt.Sprintf("%s for %s", s.absence, now.Sub(s.since).Truncate(time.Second))
}
