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

// maxListed bounds the rows of one answer.
const maxListed = 1000

func (s *Server) methods() rpc.Methods {
	methods := rpc.Methods{
		controlapi.IntentPropose:   s.handlePropose,
		controlapi.IntentGet:       s.handleGet,
		controlapi.IntentSubscribe: s.handleSubscribe,
		controlapi.IntentHistory:   s.handleHistory,
		controlapi.MembersAnnounce: s.handleAnnounce,
		controlapi.MembersList:     s.handleMembers,
		controlapi.StatusGet:       s.handleStatus,
		controlapi.EventsList:      s.handleEvents,
		controlapi.ReplicaMessage:  s.handleMessage,
		controlapi.ReplicaForward:  s.handleForward,
	}
	for name, handle := range methods {
		methods[name] = s.authorized(name, handle)
	}
	return methods
}

func (s *Server) handleMessage(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	envelope, err := rpc.Decode[controlapi.ReplicaEnvelope](params)
	if err != nil {
		return nil, err
	}
	var m consensus.Message
	if err := cbor.Unmarshal(envelope.Message, &m); err != nil {
		return nil, err
	}
	if !s.speaksFor(ctx, m.From.VM) {
		return nil, notAuthorized("the certificate is not that of %s", m.From.VM)
	}
	if !s.replica.deliver(m) {
		metrics.GetOrRegisterCounter("control.messages.dropped", s.registry).Inc(1)
	}
	return nil, nil
}

func (s *Server) handleHistory(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.HistoryRequest](params)
	if err != nil {
		return nil, err
	}
	return latest(s.replica.view().machine.State.History, request.Limit), nil
}

// latest returns the last rows, oldest first. A limit of zero is the maximum.
func latest[T any](rows []T, limit int) []T {
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	rows = rows[max(0, len(rows)-limit):]
	if rows == nil {
		return []T{}
	}
	return rows
}

func (s *Server) handleAnnounce(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	member, err := rpc.Decode[view.Member](params)
	if err != nil {
		return nil, err
	}
	if !s.speaksFor(ctx, member.VM) {
		return nil, notAuthorized("the certificate is not that of %s", member.VM)
	}
	response := s.members.announce(s.replica.view().machine.State, member, time.Now())
	if response.Allowed {
		s.relay(ctx, params)
	}
	return response, nil
}

// relay tells the other replicas about an announcement. It is not repeated
// after a failure, because announcements are renewed by their owner.
func (s *Server) relay(ctx context.Context, announcement json.RawMessage) {
	request := controlapi.ForwardRequest{Method: controlapi.MembersAnnounce, Params: announcement}
	for _, peer := range s.links.peers {
		go func() {
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.RequestTimeout)
			defer cancel()
			var response controlapi.AnnounceResponse
			_ = peer.forward(bounded, request, &response)
		}()
	}
}

func (s *Server) handleMembers(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
	if s.options.Members != nil {
		return s.options.Members(), nil
	}
	return s.members.list(s.replica.view().machine.State, time.Now()), nil
}

func (s *Server) handleEvents(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.EventsRequest](params)
	if err != nil {
		return nil, err
	}
	selected := []event.Event{}
	for _, e := range s.events.List() {
		if request.Object == "" || request.Object == e.Object {
			selected = append(selected, e)
		}
	}
	return latest(selected, request.Limit), nil
}

func (s *Server) handleStatus(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
	return s.Status(), nil
}

// Status returns the state of the replica.
func (s *Server) Status() controlapi.Status {
	v := s.replica.view()
	status := controlapi.Status{
		VM: s.options.VM, Role: vm.RoleControl, Incarnation: v.self.Incarnation,
		Revision: v.machine.State.Revision, Counters: s.counters(),
		Replica: &controlapi.ReplicaStatus{
			Leader: v.leader.VM, Term: v.term, Commit: v.commit, Applied: v.applied,
			Voters: names(v.configuration.Voters), Learners: names(v.configuration.Learners),
		},
	}
	if waiting := s.waitingFor.Load(); waiting != nil {
		status.WaitingFor = *waiting
	}
	return status
}

func (s *Server) counters() map[string]int64 {
	counters := map[string]int64{}
	s.registry.Each(func(name string, value any) {
		if c, ok := value.(metrics.Counter); ok {
			counters[name] = c.Count()
		}
	})
	return counters
}

func names(replicas []consensus.Replica) []vm.ID {
	ids := make([]vm.ID, 0, len(replicas))
	for _, r := range replicas {
		ids = append(ids, r.VM)
	}
	return ids
}

// Health reports whether the replica knows a leader and is not stopping.
func (s *Server) Health() telemetry.Health {
	switch {
	case s.stopping.Load():
		return telemetry.Health{Reason: "stopping"}
	case s.replica.view().leader == consensus.Replica{}:
		return telemetry.Health{Reason: "no leader is known"}
	}
	return telemetry.Health{Healthy: true}
}
