package ctl

import (
	"context"
	"encoding/json"
	"fmt"
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
	methods := rpc.Methods{controlapi.IntentUpdateNotification: queue.add}
	conn, err := rpc.Dial(ctx, address, w.session.client.config, methods.SerialHandler())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	var first controlapi.IntentUpdate
	request := controlapi.SubscribeRequest{VM: subscriber, Revision: w.revision}
	if err := w.subscribe(ctx, conn, request, &first); err != nil {
		return false, err
	}
	if done, err := w.apply(ctx, conn, first); done || err != nil {
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
			if done, err := w.apply(ctx, conn, update); done || err != nil {
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
func (w *watcher) apply(ctx context.Context, conn *rpc.Conn, u controlapi.IntentUpdate) (done bool, err error) {
	if u.ToRevision <= w.revision {
		return w.finished(), nil
	}
	if u.Snapshot != nil {
		return w.showSnapshot(u.Snapshot.Revision, w.rows(ctx, conn))
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

// rows returns the latest history rows. A snapshot has none, and without them
// only the revision of the snapshot is shown.
func (w *watcher) rows(ctx context.Context, conn *rpc.Conn) []intent.HistoryEntry {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var rows []intent.HistoryEntry
	if conn.Call(ctx, controlapi.IntentHistory, controlapi.HistoryRequest{Limit: maxHistoryRows}, &rows) != nil {
		return nil
	}
	return rows
}

// showSnapshot shows the known rows up to the revision of a snapshot, and names
// the gaps between them. Later rows come with the next update.
func (w *watcher) showSnapshot(revision uint64, rows []intent.HistoryEntry) (bool, error) {
	for _, row := range rows {
		if row.Revision <= w.revision || row.Revision > revision {
			continue
		}
		if done, err := w.showGap(row.Revision - 1); done || err != nil {
			return done, err
		}
		if err := w.show(watchRow{Revision: row.Revision, Summary: row.Summary}); err != nil {
			return false, err
		}
		if w.finished() {
			return true, nil
		}
	}
	return w.showGap(revision)
}

// showGap names revisions whose changes the server no longer knows.
func (w *watcher) showGap(revision uint64) (bool, error) {
	if revision <= w.revision {
		return false, nil
	}
	summary := fmt.Sprintf("the changes after revision %d are no longer known", w.revision)
	err := w.show(watchRow{Revision: revision, Summary: summary})
	return w.finished(), err
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

func (q *updateQueue) add(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	u, err := rpc.Decode[controlapi.IntentUpdate](params)
	if err != nil {
		return nil, err
	}
	q.mu.Lock()
	q.updates = append(q.updates, u)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

func (q *updateQueue) take() []controlapi.IntentUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.updates
	q.updates = nil
	return list
}
