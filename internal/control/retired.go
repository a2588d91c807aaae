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

// followRetired proposes to forget retired VMs until the context ends. Without
// a membership there is no evidence, and nothing is forgotten.
func (s *Server) followRetired(ctx context.Context) {
	if s.options.Members == nil {
		return
	}
	tracker := lifecycle.NewTracker()
	ticker := time.NewTicker(lifecycle.ReviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.replica.stopped:
			return
		case now := <-ticker.C:
			s.reviewRetired(ctx, tracker, now)
		}
	}
}

// reviewRetired takes the evidence on every replica; only the leader proposes.
func (s *Server) reviewRetired(ctx context.Context, tracker *lifecycle.Tracker, now time.Time) {
	v := s.replica.view()
	state := v.machine.State
	tracker.Review(now, state, s.options.Members())
	if v.role != consensus.Leader || s.stopping.Load() {
		return
	}
	due := tracker.Propose(now, state)
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.RequestTimeout)
	defer cancel()
	change := intent.Change{
		OperationID: fmt.Sprintf("forget-at-%d", state.Revision), BaseRevision: state.Revision,
		Operator: "control " + string(s.options.VM), Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: due},
	}
	result, err := s.proposeHere(ctx, controlapi.ProposeRequest{Change: change})
	log := s.log.WithFields(logrus.Fields{"vms": len(due), "outcome": result.Outcome, "revision": result.Revision})
	if err != nil || result.Outcome != intent.Accepted {
		log.WithError(err).WithField("reason", result.Reason).Warn("retired VMs not forgotten; they are proposed again later")
		return
	}
	log.Info("retired VMs forgotten")
	for _, f := range due {
		s.events.Add(event.Event{At: now, Kind: event.VMRemoved, Object: string(f.VM), Reason: f.Reason, Revision: result.Revision})
	}
}

// checkKind rejects the changes that only the leader proposes: an operator
// cannot know whether a VM still holds flows.
func checkKind(change *intent.Change) error {
	if change.Kind != intent.KindRemove {
		return nil
	}
	list := finding.List{}
	list.Errorf(finding.Location{Object: "change", Field: "kind"}, "%q is proposed by control itself", change.Kind)
	return invalid("the change is invalid", list)
}
