package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
)

const (
	// feedRetry is the mean pause before another control address is tried.
	feedRetry = 500 * time.Millisecond
	// feedCall bounds the time of one call to control.
	feedCall = 3 * time.Second
	// feedBacklog bounds the updates that wait to be applied.
	feedBacklog = 64
)

var errDisconnected = errors.New("connection to control closed")

// GapError reports an update that does not follow the applied revision.
type GapError struct {
	Applied, From, To uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("update %d to %d does not follow the applied revision %d", e.From, e.To, e.Applied)
}

// feed keeps the latest accepted intent. It never goes back to an older one.
type feed struct {
	cfg     *Config
	changed func()
	random  *rand.Rand
	store   *intentFile

	mu    sync.Mutex
	state *intent.State
}

func newFeed(cfg *Config, changed func()) (*feed, error) {
	f := &feed{cfg: cfg, changed: changed, random: rand.New(rand.NewPCG(cfg.Seed, 1)), state: &intent.State{}}
	if cfg.DataFolder == "" {
		return f, nil
	}
	f.store = newIntentFile(cfg.DataFolder)
	saved, err := f.store.load()
	if err != nil {
		return nil, err
	}
	if saved != nil {
		f.state = saved
	}
	return f, nil
}

// current returns the applied state, which must not be changed.
func (f *feed) current() *intent.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// run stays subscribed to one of the control VMs.
func (f *feed) run(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := f.cfg.Control[(attempt+f.random.IntN(len(f.cfg.Control)))%len(f.cfg.Control)]
		if err := f.subscribe(ctx, address); err != nil && ctx.Err() == nil {
			f.cfg.Log.WithField("control", address).WithError(err).Warn("intent subscription ended")
		}
		pause := feedRetry/2 + time.Duration(f.random.Int64N(int64(feedRetry)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// subscribe applies updates until the connection ends.
func (f *feed) subscribe(ctx context.Context, address string) error {
	updates := make(chan controlapi.IntentUpdate, feedBacklog)
	conn, err := rpc.Dial(ctx, address, f.cfg.TLS, updateMethods(updates).SerialHandler())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	call, cancel := context.WithTimeout(ctx, feedCall)
	defer cancel()
	var first controlapi.IntentUpdate
	request := controlapi.SubscribeRequest{VM: f.cfg.VM, Revision: f.current().Revision}
	if err := conn.Call(call, controlapi.IntentSubscribe, request, &first); err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	f.cfg.Log.WithField("control", address).Info("subscribed to the intent")
	if err := f.apply(first); err != nil {
		return err
	}
	return f.follow(ctx, conn, updates)
}

// updateMethods queues notifications until the answer to the subscription has
// been applied. If the queue is full, the reader waits.
func updateMethods(updates chan<- controlapi.IntentUpdate) rpc.Methods {
	return rpc.Methods{controlapi.IntentUpdated: func(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
		update, err := rpc.Decode[controlapi.IntentUpdate](params)
		if err != nil {
			return nil, err
		}
		select {
		case updates <- update:
		case <-ctx.Done():
		}
		return nil, nil
	}}
}

func (f *feed) follow(ctx context.Context, conn *rpc.Conn, updates <-chan controlapi.IntentUpdate) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.DisconnectNotify():
			return errDisconnected
		case update := <-updates:
			if err := f.apply(update); err != nil {
				return err
			}
		}
	}
}

// apply brings the state forward. Updates that are older than the state are
// ignored; an update with a gap is an error.
func (f *feed) apply(u controlapi.IntentUpdate) error {
	f.mu.Lock()
	next, err := advance(f.state, u)
	if err != nil || next == f.state {
		f.mu.Unlock()
		return err
	}
	f.state = next
	f.mu.Unlock()
	if f.store != nil {
		if err := f.store.save(next); err != nil {
			f.cfg.Log.WithError(err).Error("the applied intent could not be saved")
		}
	}
	f.cfg.Log.WithFields(logrus.Fields{"revision": next.Revision, "from_revision": u.FromRevision}).Info("intent applied")
	f.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Applied, Object: "intent", Reason: fmt.Sprintf("update from revision %d", u.FromRevision), Revision: next.Revision})
	f.changed()
	return nil
}

// advance returns the state after an update.
func advance(s *intent.State, u controlapi.IntentUpdate) (*intent.State, error) {
	if u.ToRevision <= s.Revision {
		return s, nil
	}
	if u.Snapshot != nil {
		return u.Snapshot, nil
	}
	if u.FromRevision > s.Revision {
		return nil, &GapError{Applied: s.Revision, From: u.FromRevision, To: u.ToRevision}
	}
	for _, change := range u.Changes {
		if change.BaseRevision < s.Revision {
			continue
		}
		next, result := intent.Apply(s, change)
		if result.Outcome != intent.Accepted {
			return nil, &GapError{Applied: s.Revision, From: u.FromRevision, To: u.ToRevision}
		}
		s = next
	}
	return s, nil
}
