package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
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
	// saveRetry is the pause before a state that could not be saved is saved
	// again.
	saveRetry = 10 * time.Second
)

var errDisconnected = errors.New("connection to control closed")

// UpdateError reports an update that does not lead from the applied revision
// to the one that it names.
type UpdateError struct {
	Applied, From, To, Reached uint64
}

func (e *UpdateError) Error() string {
	return fmt.Sprintf("update %d to %d leads from the applied revision %d to %d", e.From, e.To, e.Applied, e.Reached)
}

// feed keeps the latest accepted intent. It never goes back to an older one.
type feed struct {
	cfg     *Config
	changed func()
	random  *rand.Rand
	store   *intentFile

	// wantSnapshot: the last delta could not be applied. unsaved: the applied
	// state is not in the file. Both are used by the subscribing goroutine only.
	wantSnapshot bool
	unsaved      bool

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
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		f.cfg.Log.WithError(err).Error("saved intent not used; the node starts without one and gets it from control")
		f.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Ignored, Object: "intent", Reason: err.Error()})
		return f, nil
	}
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
	request := controlapi.SubscribeRequest{VM: f.cfg.VM, Revision: f.current().Revision, Snapshot: f.wantSnapshot}
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
	return rpc.Methods{controlapi.IntentUpdateNotification: func(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
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
	again := time.NewTicker(saveRetry)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.DisconnectNotify():
			return errDisconnected
		case <-again.C:
			if f.unsaved {
				f.save(f.current())
			}
		case update := <-updates:
			if err := f.apply(update); err != nil {
				return err
			}
		}
	}
}

// apply brings the state forward and saves it before it is used, so that a
// restart does not go back. Updates that are older than the state are ignored;
// one that cannot be applied is an error, after which the whole state is asked
// for.
func (f *feed) apply(u controlapi.IntentUpdate) error {
	state := f.current()
	next, err := advance(state, u)
	f.wantSnapshot = err != nil
	if err != nil || next == state {
		return err
	}
	f.save(next)
	f.mu.Lock()
	f.state = next
	f.mu.Unlock()
	f.cfg.Log.WithFields(logrus.Fields{"revision": next.Revision, "from_revision": u.FromRevision}).Info("intent applied")
	f.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Applied, Object: "intent", Reason: fmt.Sprintf("update from revision %d", u.FromRevision), Revision: next.Revision})
	f.changed()
	return nil
}

// save writes the state. A state that cannot be saved is used all the same: a
// full disk must not keep an accepted change from being in force. It is saved
// again later; a restart before that starts from the earlier revision.
func (f *feed) save(s *intent.State) {
	if f.store == nil {
		return
	}
	err := f.store.save(s)
	f.unsaved = err != nil
	if err == nil {
		return
	}
	metrics.GetOrRegisterCounter("intent.save_failed", f.cfg.Metrics).Inc(1)
	f.cfg.Log.WithError(err).WithField("revision", s.Revision).Error("the intent could not be saved; a restart would begin with an earlier revision")
}

// advance returns the state after an update, or the given one if the update is
// not newer. Operation ids and history are left out: nodes do not need them, and
// an id that was used before must not keep a change from being applied.
func advance(s *intent.State, u controlapi.IntentUpdate) (*intent.State, error) {
	if u.ToRevision <= s.Revision {
		return s, nil
	}
	next, err := u.Advance(s)
	if err != nil {
		return nil, fmt.Errorf("update %d to %d: %w", u.FromRevision, u.ToRevision, err)
	}
	if next.Revision != u.ToRevision {
		return nil, &UpdateError{Applied: s.Revision, From: u.FromRevision, To: u.ToRevision, Reached: next.Revision}
	}
	return next.WithoutHistory(), nil
}
