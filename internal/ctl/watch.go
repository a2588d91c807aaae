package ctl

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
)

const (
	// subscriber is the VM name in subscriptions of operators.
	subscriber = "bramleyctl"
	// watchRetries lets watch outlast about a minute without a control VM:
	// with full jitter the mean wait is half of backoffMax.
	watchRetries = 60
)

func (a *app) watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "show each accepted revision with its change, until interrupted",
		Flags: []cli.Flag{
			textFlag("from", "", "show changes after this revision; the current one if unset"),
			textFlag("count", "0", "end after that many revisions; 0 means no end"),
		},
		Action: a.online(watch),
	}
}

// watchRow is one line of watch. Change is absent if the server sent a whole
// state instead of single changes.
type watchRow struct {
	Revision uint64         `json:"revision"`
	Change   *intent.Change `json:"change,omitempty"`
	Summary  string         `json:"summary"`
}

type watcher struct {
	session  *session
	revision uint64
	shown    uint64
	limit    uint64
}

func watch(in *input) func(context.Context, *session) error {
	in.args()
	limit := in.number("count", 0, 1<<32)
	var from *uint64
	if in.text("from") != "" {
		value := in.number("from", 0, 1<<63)
		from = &value
	}
	return func(ctx context.Context, s *session) error {
		w := &watcher{session: s, limit: limit}
		if from != nil {
			w.revision = *from
		} else if err := w.startAtCurrent(ctx); err != nil {
			return err
		}
		return w.run(ctx)
	}
}

func (w *watcher) startAtCurrent(ctx context.Context) error {
	ctx, cancel := w.session.withTimeout(ctx)
	defer cancel()
	var state intent.State
	err := w.session.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state)
	w.revision = state.Revision
	return err
}

// run subscribes again, at the last revision shown, whenever the connection
// ends. The retry budget is renewed by each update, so that only a time without
// any control VM ends the command.
func (w *watcher) run(ctx context.Context) error {
	c := w.session.client
	c.setBudget(watchRetries)
	failed := &UnavailableError{Method: controlapi.IntentSubscribe}
	for {
		before := w.revision
		done, err := w.follow(ctx, c.address())
		if ctx.Err() != nil || done {
			return nil
		}
		if final := definitive(controlapi.IntentSubscribe, err); final != nil {
			return final
		}
		if w.revision > before {
			failed.Attempts = 0
			c.setBudget(watchRetries)
		}
		failed.Attempts++
		failed.Last = err
		c.target++
		if !c.wait(ctx, failed) {
			return failed
		}
	}
}

// follow shows updates of one connection until it ends.
func (w *watcher) follow(ctx context.Context, address string) (done bool, err error) {
	queue := &updateQueue{wake: make(chan struct{}, 1)}
	conn, err := rpc.Dial(ctx, address, w.session.config, queue)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	var first controlapi.IntentUpdate
	request := controlapi.SubscribeRequest{VM: subscriber, Revision: w.revision}
	if err := w.subscribe(ctx, conn, request, &first); err != nil {
		return false, err
	}
	if done, err := w.apply(first); done || err != nil {
		return done, err
	}
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case <-conn.DisconnectNotify():
			return false, jsonrpc2.ErrClosed
		case <-queue.wake:
		}
		for _, update := range queue.take() {
			if done, err := w.apply(update); done || err != nil {
				return done, err
			}
		}
	}
}

func (w *watcher) subscribe(ctx context.Context, conn *rpc.Conn, request controlapi.SubscribeRequest, first *controlapi.IntentUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return conn.Call(ctx, controlapi.IntentSubscribe, request, first)
}

// gapError makes the watcher subscribe again.
type gapError struct{}

func (gapError) Error() string { return "an update is missing" }

// apply shows the revisions of an update that have not been shown.
func (w *watcher) apply(u controlapi.IntentUpdate) (done bool, err error) {
	if u.ToRevision <= w.revision {
		return w.finished(), nil
	}
	if u.Snapshot != nil {
		return w.showSnapshot(u.Snapshot)
	}
	if u.FromRevision > w.revision {
		return false, gapError{}
	}
	for i := range u.Changes {
		change := &u.Changes[i]
		// An accepted change makes the revision after its base.
		revision := change.BaseRevision + 1
		if revision <= w.revision {
			continue
		}
		if err := w.show(watchRow{Revision: revision, Change: change, Summary: describe(*change)}); err != nil {
			return false, err
		}
		if w.finished() {
			return true, nil
		}
	}
	return false, nil
}

// showSnapshot takes the changes from the history of the state; rows that it
// no longer has are named as skipped.
func (w *watcher) showSnapshot(s *intent.State) (bool, error) {
	for _, row := range s.History {
		if row.Revision <= w.revision {
			continue
		}
		if err := w.show(watchRow{Revision: row.Revision, Summary: row.Summary}); err != nil {
			return false, err
		}
		if w.finished() {
			return true, nil
		}
	}
	if s.Revision > w.revision {
		err := w.show(watchRow{Revision: s.Revision, Summary: "whole state; the single changes before it are no longer known"})
		return w.finished(), err
	}
	return false, nil
}

func (w *watcher) finished() bool { return w.limit > 0 && w.shown >= w.limit }

func (w *watcher) show(row watchRow) error {
	w.revision = row.Revision
	w.shown++
	return w.session.out.show(row, func(out io.Writer) { line(out, "revision %d: %s", row.Revision, row.Summary) })
}

// updateQueue receives notifications in the order in which they arrive. It
// never blocks the connection, whose answers come the same way.
type updateQueue struct {
	mu      sync.Mutex
	updates []controlapi.IntentUpdate
	wake    chan struct{}
}

// Handle implements rpc.Handler.
func (q *updateQueue) Handle(_ context.Context, _ *rpc.Conn, req *jsonrpc2.Request) {
	if req.Method != controlapi.IntentUpdated || req.Params == nil {
		return
	}
	var u controlapi.IntentUpdate
	if err := json.Unmarshal(*req.Params, &u); err != nil {
		return
	}
	q.mu.Lock()
	q.updates = append(q.updates, u)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *updateQueue) take() []controlapi.IntentUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.updates
	q.updates = nil
	return list
}
