package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// startedTogetherTolerance is how much earlier than its agent an upstream may have
	// started if the two count as started together. Processes of a VM that boots start
	// together. An upstream gets its first opening only after its check-in has reached
	// the balancers, some round trips later.
	startedTogetherTolerance = 100 * time.Millisecond
	// successorCheckInIntervals is the time, in check-in intervals, after which a
	// possible successor replaces the current upstream process. In this time the
	// successor has sent check-ins and the current process has sent none.
	successorCheckInIntervals = 2
	// defaultCheckInInterval is the usual check-in interval of the platform.
	defaultCheckInInterval = 1200 * time.Millisecond
	// maxStartupCheckIns is the highest check-in sequence number of an upstream that
	// has just started. Its first check-ins may get no acknowledgement while the agent
	// starts.
	maxStartupCheckIns = 3
)

// CheckIn is the status that an upstream reports to its agent at regular intervals.
type CheckIn struct {
	VM          vm.ID
	Service     service.Name
	Incarnation vm.Incarnation
	// StartedAt is when the incarnation started, by the clock of its VM.
	StartedAt time.Time
	// Sequence orders the check-ins of one incarnation.
	Sequence uint64
	Status   view.Status
	Slots    int
	// WarmUp is the remaining time for which the upstream is slow after its start.
	WarmUp time.Duration
}

// HandleCheckIn handles a check-in of the upstream. changed reports whether the
// published state of the upstream has changed.
//
// Check-ins of a previous incarnation, and older ones of the current incarnation,
// are ignored. A new incarnation resets the flows of previous incarnations, so that
// their callers need not wait for a timeout.
//
// accepted is false for a check-in of a process that may have exited, and for one that
// reports another status under an earlier sequence number. Such a check-in is ignored
// and must not be acknowledged.
func (a *Agent) HandleCheckIn(now time.Time, checkIn CheckIn, actions *[]Action) (changed, accepted bool) {
	a.noteCall(now)
	previous := a.upstream
	if a.checkedIn {
		if checkIn.Incarnation < previous.Incarnation && !a.isSuccessor(now, &checkIn) {
			return false, false
		}
		if checkIn.Incarnation == previous.Incarnation && checkIn.Sequence <= previous.Sequence && !a.sequenceWentBack(now, &checkIn) {
			return false, checkIn.Sequence == previous.Sequence || checkIn.Status == previous.Status
		}
		if checkIn.Incarnation == previous.Incarnation && previous.Status != view.Ready && previous.Status != view.Failed && checkIn.Status == view.Ready {
			// A leaving upstream does not become ready again.
			checkIn.Status = previous.Status
		}
	}
	a.possibleSuccessor = possibleSuccessor{}
	changed = !a.checkedIn || checkIn.Incarnation != previous.Incarnation || checkIn.Status != previous.Status || checkIn.Slots != previous.Slots || checkIn.VM != previous.VM
	newProcess := checkIn.Incarnation != previous.Incarnation
	if newProcess {
		a.rejectOpeningsUntil = time.Time{}
		a.sawUpstreamStart = a.checkedIn || a.confirmedAbsent || a.startedTogether(now, &checkIn)
		if a.checkedIn {
			a.flowsForgottenUntil = time.Time{}
			a.endFlowsExcept(now, checkIn.Incarnation, true, actions)
			a.learner.restart()
		}
	}
	if !a.checkedIn {
		for _, held := range a.flows {
			held.incarnation = checkIn.Incarnation
		}
	}
	a.upstream, a.checkedIn = checkIn, true
	a.learner.setSlots(checkIn.Slots)
	becameCold := a.applyReportedWarmUp(now, &checkIn, newProcess)
	return changed || becameCold, true
}

// possibleSuccessor is an upstream process that sends check-ins with an earlier start
// time than the current process. It may be the successor of the current process if the
// VM's clock was set back.
type possibleSuccessor struct {
	incarnation    vm.Incarnation
	lastSequence   uint64
	firstCheckInAt time.Time
}

// isSuccessor reports whether a check-in with an earlier start time comes from a
// successor of the current process. This happens if the VM's clock was set back
// between the two starts.
//
// The sender is the successor if the current process has exited. It is also the
// successor if it keeps sending check-ins while the current process sends none, for
// longer than the current process can be late. A delayed check-in of a process that
// has exited does not qualify, because no further check-ins follow it.
func (a *Agent) isSuccessor(now time.Time, checkIn *CheckIn) bool {
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return true
	}
	return a.continues(now, checkIn)
}

// sequenceWentBack reports whether a check-in with an earlier sequence number comes from
// the current process all the same. The number that was seen before is then not its own:
// another writer sent a check-in in its name.
func (a *Agent) sequenceWentBack(now time.Time, checkIn *CheckIn) bool {
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return false
	}
	return a.continues(now, checkIn)
}

// continues reports whether check-ins that follow one another under one start time have
// arrived for longer than the last accepted sender can be late, and none of that sender.
func (a *Agent) continues(now time.Time, checkIn *CheckIn) bool {
	if successor := &a.possibleSuccessor; successor.incarnation != checkIn.Incarnation {
		*successor = possibleSuccessor{incarnation: checkIn.Incarnation, lastSequence: checkIn.Sequence, firstCheckInAt: now}
		return false
	}
	if checkIn.Sequence <= a.possibleSuccessor.lastSequence {
		return false
	}
	a.possibleSuccessor.lastSequence = checkIn.Sequence
	return now.Sub(a.possibleSuccessor.firstCheckInAt) >= successorCheckInIntervals*a.cfg.CheckInInterval
}

// startedTogether reports whether the upstream started at about the same time as
// this agent. In that case this agent has received all its packets. The start time
// alone does not prove it: the VM's clock may have been set back since the upstream
// started. A high check-in sequence number then shows that the upstream is older.
func (a *Agent) startedTogether(now time.Time, checkIn *CheckIn) bool {
	// receivedAt is the current time on the clock as it was set when this agent started:
	// Sub uses the monotonic clock. Steps of the clock since then thus do not change the
	// range of accepted start times.
	receivedAt := a.cfg.StartedAt.Add(now.Sub(a.cfg.StartedAt))
	return checkIn.Sequence <= maxStartupCheckIns && !checkIn.StartedAt.Before(a.cfg.StartedAt.Add(-startedTogetherTolerance)) && !checkIn.StartedAt.After(receivedAt)
}
