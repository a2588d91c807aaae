package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// maxListItems bounds the items in one response.
const maxListItems = 1000

func (s *Server) rpcMethods() rpc.Methods {
	methods := rpc.Methods{
		controlapi.IntentPropose:   s.handlePropose,
		controlapi.IntentGet:       s.handleGetIntent,
		controlapi.IntentSubscribe: s.handleSubscribe,
		controlapi.IntentHistory:   s.handleHistory,
		controlapi.MembersAnnounce: s.handleAnnounce,
		controlapi.MembersList:     s.handleListMembers,
		controlapi.StatusGet:       s.handleStatus,
		controlapi.EventsList:      s.handleListEvents,
		controlapi.ReplicaMessage:  s.handleReplicaMessage,
		controlapi.ReplicaForward:  s.handleForward,
	}
	for name, handler := range methods {
		methods[name] = s.requireRole(name, handler)
	}
	return methods
}

func (s *Server) handleReplicaMessage(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	envelope, err := rpc.Decode[controlapi.ReplicaEnvelope](params)
	if err != nil {
		return nil, err
	}
	var message consensus.Message
	if err := cbor.Unmarshal(envelope.Message, &message); err != nil {
		return nil, err
	}
	if !s.certificateMatches(ctx, message.From.VM) {
		return nil, notAuthorizedError("the certificate is not that of %s", message.From.VM)
	}
	if !s.replica.enqueueMessage(message) {
		metrics.GetOrRegisterCounter("control.messages.dropped", s.registry).Inc(1)
	}
	return nil, nil
}

func (s *Server) handleHistory(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.HistoryRequest](params)
	if err != nil {
		return nil, err
	}
	return lastItems(s.replica.published().stateMachine.State.History, request.Limit), nil
}

// lastItems returns the last items in their order. A limit of 0 selects
// maxListItems.
func lastItems[T any](items []T, limit int) []T {
	if limit <= 0 || limit > maxListItems {
		limit = maxListItems
	}
	items = items[max(0, len(items)-limit):]
	if items == nil {
		return []T{}
	}
	return items
}

func (s *Server) handleAnnounce(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	member, err := rpc.Decode[view.Member](params)
	if err != nil {
		return nil, err
	}
	if !s.certificateMatches(ctx, member.VM) {
		return nil, notAuthorizedError("the certificate is not that of %s", member.VM)
	}
	response := s.announced.announce(s.replica.published().stateMachine.State, member, time.Now())
	if response.Allowed {
		s.forwardAnnouncement(ctx, params)
	}
	return response, nil
}

// forwardAnnouncement sends an accepted announcement to all other replicas. A
// failed request is not retried, because members announce themselves
// periodically.
func (s *Server) forwardAnnouncement(ctx context.Context, announcement json.RawMessage) {
	request := controlapi.ForwardRequest{Method: controlapi.MembersAnnounce, Params: announcement}
	for _, client := range s.clients.byVM {
		go func() {
			timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.RequestTimeout)
			defer cancel()
			var response controlapi.AnnounceResponse
			_ = client.forward(timeoutCtx, request, &response)
		}()
	}
}

func (s *Server) handleListMembers(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
	if s.options.Members != nil {
		return s.options.Members(), nil
	}
	return s.announced.list(s.replica.published().stateMachine.State, time.Now()), nil
}

func (s *Server) handleListEvents(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.EventsRequest](params)
	if err != nil {
		return nil, err
	}
	matching := []event.Event{}
	for _, e := range s.events.List() {
		if request.Object == "" || request.Object == e.Object {
			matching = append(matching, e)
		}
	}
	return lastItems(matching, request.Limit), nil
}

func (s *Server) handleStatus(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
	return s.Status(), nil
}

// Status returns the state of the replica with the counters of the process.
func (s *Server) Status() controlapi.Status {
	state := s.replica.published()
	status := controlapi.Status{
		VM: s.options.VM, Role: vm.RoleControl, Incarnation: state.self.Incarnation,
		Revision: state.stateMachine.State.Revision, Counters: s.counterValues(),
		Replica: &controlapi.ReplicaStatus{
			Leader: state.leader.VM, Term: state.term, Commit: state.commit, Applied: state.applied,
			Voters: vmIDs(state.configuration.Voters), Learners: vmIDs(state.configuration.Learners),
		},
	}
	if pending := s.pendingOnStop.Load(); pending != nil {
		status.PendingOnStop = *pending
	}
	return status
}

func (s *Server) counterValues() map[string]int64 {
	counters := map[string]int64{}
	s.registry.Each(func(name string, value any) {
		if c, ok := value.(metrics.Counter); ok {
			counters[name] = c.Count()
		}
	})
	return counters
}

// vmIDs returns the VMs of the replicas.
func vmIDs(replicas []consensus.ReplicaID) []vm.ID {
	ids := make([]vm.ID, 0, len(replicas))
	for _, r := range replicas {
		ids = append(ids, r.VM)
	}
	return ids
}

// Health reports the server as healthy if its replica has a leader and the
// server is not stopping.
func (s *Server) Health() telemetry.Health {
	switch {
	case s.stopping.Load():
		return telemetry.Health{Reason: "stopping"}
	case s.replica.published().leader == consensus.ReplicaID{}:
		return telemetry.Health{Reason: "no leader is known"}
	}
	return telemetry.Health{Healthy: true}
}
