// Package lifecycle determines when a retired VM can be removed from the
// configuration. It does no I/O: callers pass in the time, the configuration and the
// member list.
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
	// RemoveLeftAfter is how long a VM must have the status left before it is
	// removed. If its process starts again, membership reports this within that
	// time.
	RemoveLeftAfter = 30 * time.Second
	// RemoveFailedAfter is how long a VM must be failed, or missing from the member
	// list, before it is removed. It must exceed the longest partition of the failure
	// model (minutes): VMs behind a partition are also shown as failed, and they may
	// hold flows.
	RemoveFailedAfter = time.Hour
	// RecordInterval is the interval between calls of RecordMembers.
	RecordInterval = 10 * time.Second
	// MinProposalInterval is the minimum time between two proposals. Each proposal
	// creates a revision, with which a concurrent change of an operator conflicts.
	MinProposalInterval = 5 * time.Minute
	// maxRecordGap is the maximum time between two calls of RecordMembers. After a
	// longer pause all absences start again, because the VMs could have been alive in between.
	maxRecordGap = 6 * RecordInterval
)

// absenceKind is the reason why a VM counts as absent.
type absenceKind string

const (
	left            absenceKind = "left"
	failed          absenceKind = "failed"
	notInMemberList absenceKind = "not seen"
)

// absence is an uninterrupted period in which a VM was absent.
type absence struct {
	kind  absenceKind
	since time.Time
}

// Tracker records the absences of retired VMs. It is not safe for concurrent use.
type Tracker struct {
	absences   map[vm.ID]absence
	recordedAt time.Time
	proposedAt time.Time
}

// NewTracker returns a tracker without absences.
func NewTracker() *Tracker { return &Tracker{absences: map[vm.ID]absence{}} }

// RecordMembers updates the absences from the current member list. It must be called on
// every replica. A new leader then has the absences already.
func (t *Tracker) RecordMembers(now time.Time, state *intent.State, members []view.Member) {
	if t.recordedAt.IsZero() || now.Sub(t.recordedAt) > maxRecordGap || now.Before(t.recordedAt) {
		clear(t.absences)
	}
	t.recordedAt = now
	statuses := make(map[vm.ID]view.Status, len(members))
	for i := range members {
		statuses[members[i].VM] = members[i].Status
	}
	observable := observableZones(state, statuses)
	current := make(map[vm.ID]absence)
	for i := range state.VMs {
		machine := &state.VMs[i]
		if machine.Status != intent.Retired {
			continue
		}
		kind, absent := classifyAbsence(statuses, machine, observable)
		if !absent {
			continue
		}
		previous, ok := t.absences[machine.ID]
		if !ok || previous.kind != kind && (previous.kind == left || kind == left) {
			previous.since = now
		}
		current[machine.ID] = absence{kind: kind, since: previous.since}
	}
	t.absences = current
}

// classifyAbsence reports whether a VM is absent, and why. In a zone that is not
// observable, only a VM with the status left is absent.
func classifyAbsence(statuses map[vm.ID]view.Status, machine *intent.VM, observable map[zone.ID]bool) (absenceKind, bool) {
	status, ok := statuses[machine.ID]
	switch {
	case ok && status == view.Left:
		return left, true
	case !observable[machine.Zone]:
		return "", false
	case !ok:
		return notInMemberList, true
	case status == view.Failed:
		return failed, true
	}
	return "", false
}

// observableZones returns whether each zone is observable. A zone is observable if a
// VM in it that is not retired is alive. A zone without such VMs is observable as
// long as another zone is. Control VMs do not count, because each one is alive in
// its own member list.
func observableZones(state *intent.State, statuses map[vm.ID]view.Status) map[zone.ID]bool {
	observable := map[zone.ID]bool{}
	anyAlive := false
	for i := range state.VMs {
		machine := &state.VMs[i]
		if machine.Status == intent.Retired || machine.Role == vm.RoleControl {
			continue
		}
		alive := isAlive(statuses[machine.ID])
		observable[machine.Zone] = observable[machine.Zone] || alive
		anyAlive = anyAlive || alive
	}
	for i := range state.VMs {
		if _, listed := observable[state.VMs[i].Zone]; !listed {
			observable[state.VMs[i].Zone] = anyAlive
		}
	}
	return observable
}

func isAlive(status view.Status) bool {
	return status != "" && status != view.Failed && status != view.Left
}

// NextRemovals returns the VMs to propose for removal, at most intent.MaxRemovals.
// It returns none within MinProposalInterval of the previous proposal. Only the leader may call it.
func (t *Tracker) NextRemovals(now time.Time, state *intent.State) []intent.RemovedVM {
	if !t.proposedAt.IsZero() && now.Sub(t.proposedAt) < MinProposalInterval {
		return nil
	}
	var due []intent.RemovedVM
	for i := range state.VMs {
		absence, ok := t.absences[state.VMs[i].ID]
		if !ok || state.VMs[i].Status != intent.Retired || now.Sub(absence.since) < absence.requiredDuration() {
			continue
		}
		due = append(due, intent.RemovedVM{VM: state.VMs[i].ID, Reason: absence.removalReason(now)})
		if len(due) == intent.MaxRemovals {
			break
		}
	}
	if len(due) > 0 {
		t.proposedAt = now
	}
	return due
}

// requiredDuration returns how long the absence must last before the VM is removed.
func (a absence) requiredDuration() time.Duration {
	if a.kind == left {
		return RemoveLeftAfter
	}
	return RemoveFailedAfter
}

// removalReason returns the reason that is stored with the removal.
func (a absence) removalReason(now time.Time) string {
	if a.kind == left {
		return string(left)
	}
	return fmt.Sprintf("%s for %s", a.kind, now.Sub(a.since).Truncate(time.Second))
}
