package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
)

// announceForwarded records an announcement that another replica has checked.
func (s *Server) announceForwarded(params json.RawMessage) (any, error) {
	member, err := rpc.Decode[view.Member](params)
	if err != nil {
		return nil, err
	}
	return s.members.announce(s.replica.view().machine.State, member, time.Now()), nil
}

// handleSubscribe answers with what the subscriber lacks now, and notifies it
// of later revisions on the same connection.
func (s *Server) handleSubscribe(ctx context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.SubscribeRequest](params)
	if err != nil {
		return nil, err
	}
	m := s.replica.view().machine
	next := m.update
	if request.Snapshot {
		next = m.whole
	}
	update, err := next(request.Revision)
	if err != nil {
		return nil, err
	}
	return rpc.ResultWithCallback{Result: update, AfterWrite: func() {
		go s.notify(s.replaceSubscription(ctx, conn), conn, update.ToRevision)
	}}, nil
}

// replaceSubscription ends the earlier subscription of a connection, if any, so
// that a subscriber that starts again does not get every update twice.
func (s *Server) replaceSubscription(ctx context.Context, conn *rpc.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.subscriptions[conn]; ok {
		earlier()
	}
	s.subscriptions[conn] = cancel
	return ctx
}

func (s *Server) forgetSubscription(conn *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.subscriptions[conn]; ok {
		cancel()
		delete(s.subscriptions, conn)
	}
}

// notify sends updates in order until the connection ends. There is no queue:
// a subscriber that reads slowly gets one update for all revisions that were
// accepted in the meantime.
func (s *Server) notify(ctx context.Context, conn *rpc.Conn, revision uint64) {
	subscribers := metrics.GetOrRegisterCounter("control.subscribers", s.registry)
	subscribers.Inc(1)
	defer subscribers.Dec(1)
	metrics.GetOrRegisterCounter("control.subscriptions", s.registry).Inc(1)
	for {
		v := s.replica.view()
		update, err := v.machine.update(revision)
		if err == nil && update.ToRevision > revision {
			err = conn.Notify(ctx, controlapi.IntentUpdateNotification, update)
			s.countUpdate(update)
		}
		if err != nil {
			_ = conn.Close()
			s.forgetSubscription(conn)
			return
		}
		revision = update.ToRevision
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			s.forgetSubscription(conn)
			return
		case <-s.replica.stopped:
			return
		}
	}
}

func (s *Server) countUpdate(u controlapi.PackedUpdate) {
	kind := "control.updates.plain"
	if len(u.Packed) > 0 {
		kind = "control.updates.packed"
	}
	metrics.GetOrRegisterCounter(kind, s.registry).Inc(1)
}
