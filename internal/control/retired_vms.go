package control

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/lifecycle"
)

// removeRetiredVMs reviews the retired VMs periodically until the context
// ends. Without a membership there is no evidence that a VM holds no flows,
// and no VM is removed.
func (s *Server) removeRetiredVMs(ctx context.Context) {
	if s.options.Members == nil {
		return
	}
	tracker := lifecycle.NewTracker()
	ticker := time.NewTicker(lifecycle.RecordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.replica.stopped:
			return
		case now := <-ticker.C:
			s.reviewRetiredVMs(ctx, tracker, now)
		}
	}
}

// reviewRetiredVMs updates the tracker with the current members. If this
// replica is the leader, it proposes to remove the VMs that the tracker
// reports. Every replica updates its tracker, so that a new leader has the
// evidence already.
func (s *Server) reviewRetiredVMs(ctx context.Context, tracker *lifecycle.Tracker, now time.Time) {
	published := s.replica.published()
	state := published.stateMachine.State
	tracker.RecordMembers(now, state, s.options.Members())
	if published.role != consensus.Leader || s.stopping.Load() {
		return
	}
	removals := tracker.NextRemovals(now, state)
	if len(removals) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.RequestTimeout)
	defer cancel()
	change := intent.Change{
		OperationID: fmt.Sprintf("forget-at-%d", state.Revision), BaseRevision: state.Revision,
		Operator: "control " + string(s.options.VM), Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: removals},
	}
	result, err := s.proposeLocally(ctx, controlapi.ProposeRequest{Change: change})
	log := s.log.WithFields(logrus.Fields{"vms": len(removals), "outcome": result.Outcome, "revision": result.Revision})
	if err != nil || result.Outcome != intent.Accepted {
		log.WithError(err).WithField("reason", result.Reason).Warn("removal of retired VMs was not accepted; it will be proposed again")
		return
	}
	log.Info("retired VMs removed from the intent")
	for _, removal := range removals {
		s.events.Add(event.Event{At: now, Kind: event.VMRemoved, Object: string(removal.VM), Reason: removal.Reason, Revision: result.Revision})
	}
}

// rejectLeaderOnlyKind rejects changes that only the leader may propose. An
// operator cannot determine whether a retired VM still holds flows.
func rejectLeaderOnlyKind(change *intent.Change) error {
	if change.Kind != intent.KindRemove {
		return nil
	}
	findings := finding.List{}
	findings.Errorf(finding.Location{Object: "change", Field: "kind"}, "%q is proposed by control itself", change.Kind)
	return invalidError("the change is invalid", findings)
}
