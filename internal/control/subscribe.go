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

// recordForwardedAnnouncement records an announcement that another replica has
// authorized.
func (s *Server) recordForwardedAnnouncement(params json.RawMessage) (any, error) {
	member, err := rpc.Decode[view.Member](params)
	if err != nil {
		return nil, err
	}
	return s.announced.announce(s.replica.published().stateMachine.State, member, time.Now()), nil
}

// handleSubscribe responds with the update from the subscriber's revision to
// the current one. Later revisions follow as notifications on the same
// connection.
func (s *Server) handleSubscribe(ctx context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.SubscribeRequest](params)
	if err != nil {
		return nil, err
	}
	stateMachine := s.replica.published().stateMachine
	makeUpdate := stateMachine.updateFrom
	if request.Snapshot {
		makeUpdate = stateMachine.snapshotUpdate
	}
	update, err := makeUpdate(request.Revision)
	if err != nil {
		return nil, err
	}
	return rpc.ResultWithCallback{Result: update, AfterWrite: func() {
		go s.sendUpdates(s.replaceSubscription(ctx, conn), conn, update.ToRevision)
	}}, nil
}

// replaceSubscription cancels the previous subscription of a connection, if
// any. Otherwise a subscriber that subscribes again would get every update
// twice.
func (s *Server) replaceSubscription(ctx context.Context, conn *rpc.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancelPrevious, ok := s.subscriptions[conn]; ok {
		cancelPrevious()
	}
	s.subscriptions[conn] = cancel
	return ctx
}

func (s *Server) cancelSubscription(conn *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.subscriptions[conn]; ok {
		cancel()
		delete(s.subscriptions, conn)
	}
}

// sendUpdates sends updates in order until the connection ends. It keeps no
// queue: a slow subscriber gets one update for all revisions that were
// accepted since the last one.
func (s *Server) sendUpdates(ctx context.Context, conn *rpc.Conn, revision uint64) {
	subscribers := metrics.GetOrRegisterCounter("control.subscribers", s.registry)
	subscribers.Inc(1)
	defer subscribers.Dec(1)
	metrics.GetOrRegisterCounter("control.subscriptions", s.registry).Inc(1)
	for {
		state := s.replica.published()
		update, err := state.stateMachine.updateFrom(revision)
		if err == nil && update.ToRevision > revision {
			err = conn.Notify(ctx, controlapi.IntentUpdateNotification, update)
			s.countUpdate(update)
		}
		if err != nil {
			_ = conn.Close()
			s.cancelSubscription(conn)
			return
		}
		revision = update.ToRevision
		select {
		case <-state.changed:
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			s.cancelSubscription(conn)
			return
		case <-s.replica.stopped:
			return
		}
	}
}

func (s *Server) countUpdate(update controlapi.PackedUpdate) {
	counterName := "control.updates.plain"
	if len(update.Packed) > 0 {
		counterName = "control.updates.packed"
	}
	metrics.GetOrRegisterCounter(counterName, s.registry).Inc(1)
}
