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
	// meanReconnectPause is the mean pause before the next control address is tried.
	meanReconnectPause = 500 * time.Millisecond
	// subscribeTimeout bounds the subscription call to control.
	subscribeTimeout = 3 * time.Second
	// maxQueuedUpdates bounds the received updates that wait to be applied.
	maxQueuedUpdates = 64
	// saveRetryInterval is how often the node tries again to save a state whose
	// save has failed.
	saveRetryInterval = 10 * time.Second
)

var errControlDisconnected = errors.New("connection to control closed")

// UpdateMismatchError reports an update whose changes do not lead from the applied
// revision to the update's target revision.
type UpdateMismatchError struct {
	AppliedRevision, UpdateFrom, UpdateTo, ResultRevision uint64
}

func (e *UpdateMismatchError) Error() string {
	return fmt.Sprintf("intent update from revision %d to %d: applied to revision %d it results in revision %d", e.UpdateFrom, e.UpdateTo, e.AppliedRevision, e.ResultRevision)
}

// intentFeed receives updates of the intent from control and keeps the latest
// state. It never returns to an earlier revision.
type intentFeed struct {
	cfg       *Config
	onApplied func()
	random    *rand.Rand
	file      *intentFile

	// needsSnapshot is set when the last delta could not be applied. unsaved is set
	// while the file does not contain the applied state. Both are used by the
	// subscribing goroutine only.
	needsSnapshot bool
	unsaved       bool

	mu      sync.Mutex
	applied *intent.State
}

func newIntentFeed(cfg *Config, onApplied func()) (*intentFeed, error) {
	feed := &intentFeed{cfg: cfg, onApplied: onApplied, random: rand.New(rand.NewPCG(cfg.Seed, 1)), applied: &intent.State{}}
	if cfg.DataFolder == "" {
		return feed, nil
	}
	feed.file = newIntentFile(cfg.DataFolder)
	saved, err := feed.file.loadState()
	var damaged *DamagedIntentError
	if errors.As(err, &damaged) {
		feed.cfg.Log.WithError(err).Error("saved intent is damaged; starting without an intent until control sends one")
		feed.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Ignored, Object: "intent", Reason: err.Error()})
		return feed, nil
	}
	if err != nil {
		return nil, err
	}
	if saved != nil {
		feed.applied = saved
	}
	return feed, nil
}

// appliedState returns the applied state, which must not be modified.
func (f *intentFeed) appliedState() *intent.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// run keeps a subscription to one of the control VMs until the context ends.
func (f *intentFeed) run(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := f.cfg.Control[(attempt+f.random.IntN(len(f.cfg.Control)))%len(f.cfg.Control)]
		if err := f.subscribe(ctx, address); err != nil && ctx.Err() == nil {
			f.cfg.Log.WithField("control", address).WithError(err).Warn("intent subscription ended")
		}
		pause := meanReconnectPause/2 + time.Duration(f.random.Int64N(int64(meanReconnectPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// subscribe subscribes to the intent at one control VM and applies updates until
// the connection ends.
func (f *intentFeed) subscribe(ctx context.Context, address string) error {
	updates := make(chan controlapi.IntentUpdate, maxQueuedUpdates)
	conn, err := rpc.Dial(ctx, address, f.cfg.TLS, notificationMethods(updates).SerialHandler())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	var response controlapi.IntentUpdate
	request := controlapi.SubscribeRequest{VM: f.cfg.VM, Revision: f.appliedState().Revision, Snapshot: f.needsSnapshot}
	if err := conn.Call(callCtx, controlapi.IntentSubscribe, request, &response); err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	f.cfg.Log.WithField("control", address).Info("subscribed to the intent")
	if err := f.applyUpdate(response); err != nil {
		return err
	}
	return f.applyUpdates(ctx, conn, updates)
}

// notificationMethods returns the methods that queue update notifications. The
// queue is read once the response to the subscription has been applied. While it is
// full, the connection is not read.
func notificationMethods(updates chan<- controlapi.IntentUpdate) rpc.Methods {
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

func (f *intentFeed) applyUpdates(ctx context.Context, conn *rpc.Conn, updates <-chan controlapi.IntentUpdate) error {
	saveTicker := time.NewTicker(saveRetryInterval)
	defer saveTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.DisconnectNotify():
			return errControlDisconnected
		case <-saveTicker.C:
			if f.unsaved {
				f.saveState(f.appliedState())
			}
		case update := <-updates:
			if err := f.applyUpdate(update); err != nil {
				return err
			}
		}
	}
}

// applyUpdate saves the state after an update before it is used, so that a restart
// does not return to an earlier revision. Updates that are not newer than the
// applied state are ignored. If an update cannot be applied, an error is returned
// and the next subscription requests a snapshot.
func (f *intentFeed) applyUpdate(update controlapi.IntentUpdate) error {
	current := f.appliedState()
	next, err := stateAfterUpdate(current, update)
	f.needsSnapshot = err != nil
	if err != nil || next == current {
		return err
	}
	f.saveState(next)
	f.mu.Lock()
	f.applied = next
	f.mu.Unlock()
	f.cfg.Log.WithFields(logrus.Fields{"revision": next.Revision, "from_revision": update.FromRevision}).Info("intent applied")
	f.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Applied, Object: "intent", Reason: fmt.Sprintf("update from revision %d", update.FromRevision), Revision: next.Revision})
	f.onApplied()
	return nil
}

// saveState writes the state to the file. A state is used even if it cannot be saved:
// an accepted change must be applied although the disk is full. While the node is
// subscribed, it tries again every saveRetryInterval. If it restarts before a save
// succeeds, it starts from the earlier revision.
func (f *intentFeed) saveState(state *intent.State) {
	if f.file == nil {
		return
	}
	err := f.file.saveState(state)
	f.unsaved = err != nil
	if err == nil {
		return
	}
	metrics.GetOrRegisterCounter("intent.save_failed", f.cfg.Metrics).Inc(1)
	f.cfg.Log.WithError(err).WithField("revision", state.Revision).Error("intent not saved to the data folder; a restart would start from an earlier revision")
}

// stateAfterUpdate returns the state after an update, or the given state if the
// update is not newer. The result has no operation ids and no history. Nodes do not
// need them, and a change with a reused operation id must still be applied.
func stateAfterUpdate(current *intent.State, update controlapi.IntentUpdate) (*intent.State, error) {
	if update.ToRevision <= current.Revision {
		return current, nil
	}
	next, err := update.Advance(current)
	if err != nil {
		return nil, fmt.Errorf("intent update from revision %d to %d: %w", update.FromRevision, update.ToRevision, err)
	}
	if next.Revision != update.ToRevision {
		return nil, &UpdateMismatchError{AppliedRevision: current.Revision, UpdateFrom: update.FromRevision, UpdateTo: update.ToRevision, ResultRevision: next.Revision}
	}
	return next.WithoutHistory(), nil
}
