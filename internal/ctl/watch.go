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
	// subscriberName is the VM name in subscriptions of operators.
	subscriberName = "bramleyctl"
	// watchRetryBudget lets watch outlast about a minute without a control VM.
	// With full jitter the mean wait is half of backoffMax.
	watchRetryBudget = 60
)

func (a *app) watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "show each accepted revision with its change until interrupted",
		Flags: []cli.Flag{
			stringFlag("from", "", "show changes after this revision; the current one if unset"),
			stringFlag("count", "0", "exit after this many revisions; 0 means never"),
		},
		Action: a.controlAction(watchRevisions),
	}
}

// watchOutput is one line of the output of watch. Change is absent if the server
// sent a snapshot instead of single changes.
type watchOutput struct {
	Revision uint64         `json:"revision"`
	Change   *intent.Change `json:"change,omitempty"`
	Summary  string         `json:"summary"`
}

// watcher shows the revisions of a subscription.
type watcher struct {
	session      *session
	lastRevision uint64
	shownCount   uint64
	// maxShown is 0 for no limit.
	maxShown uint64
}

func watchRevisions(in *invocationInput) func(context.Context, *session) error {
	in.positionalArgs()
	limit := in.uintValue("count", 0, 1<<32)
	var from *uint64
	if in.stringValue("from") != "" {
		value := in.uintValue("from", 0, 1<<63)
		from = &value
	}
	return func(ctx context.Context, s *session) error {
		w := &watcher{session: s, maxShown: limit}
		if from != nil {
			w.lastRevision = *from
		} else if err := w.startAtCurrentRevision(ctx); err != nil {
			return err
		}
		return w.watchUntilDone(ctx)
	}
}

func (w *watcher) startAtCurrentRevision(ctx context.Context) error {
	ctx, cancel := w.session.withTimeout(ctx)
	defer cancel()
	var state intent.State
	err := w.session.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state)
	w.lastRevision = state.Revision
	return err
}

// watchUntilDone subscribes again, from the last revision shown, whenever the
// connection ends. A connection that showed a revision resets the retry budget.
// So the command fails only after a long time without any control VM.
func (w *watcher) watchUntilDone(ctx context.Context) error {
	c := w.session.client
	c.resetRetryBudget(watchRetryBudget)
	unavailable := &UnavailableError{Method: controlapi.IntentSubscribe}
	for {
		previousRevision := w.lastRevision
		done, err := w.streamUpdates(ctx, c.currentAddress())
		if ctx.Err() != nil || done {
			return nil
		}
		if permanentErr := permanentError(controlapi.IntentSubscribe, err); permanentErr != nil {
			return permanentErr
		}
		if w.lastRevision > previousRevision {
			unavailable.Attempts = 0
			c.resetRetryBudget(watchRetryBudget)
		}
		unavailable.Attempts++
		unavailable.LastError = err
		c.addressIndex++
		if !c.waitBeforeRetry(ctx, unavailable) {
			return unavailable
		}
	}
}

// streamUpdates shows the updates of one connection until it ends.
func (w *watcher) streamUpdates(ctx context.Context, address string) (done bool, err error) {
	queue := &updateQueue{available: make(chan struct{}, 1)}
	methods := rpc.Methods{controlapi.IntentUpdateNotification: queue.handleNotification}
	conn, err := rpc.Dial(ctx, address, w.session.client.tlsConfig, methods.SerialHandler())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	var first controlapi.IntentUpdate
	request := controlapi.SubscribeRequest{VM: subscriberName, Revision: w.lastRevision}
	if err := w.subscribe(ctx, conn, request, &first); err != nil {
		return false, err
	}
	if done, err := w.showUpdate(ctx, conn, first); done || err != nil {
		return done, err
	}
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case <-conn.DisconnectNotify():
			return false, jsonrpc2.ErrClosed
		case <-queue.available:
		}
		for _, update := range queue.drain() {
			if done, err := w.showUpdate(ctx, conn, update); done || err != nil {
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

// missingUpdateError reports an update that does not continue from the last
// revision shown. The watcher subscribes again.
type missingUpdateError struct{}

func (missingUpdateError) Error() string { return "an update is missing from the subscription" }

// showUpdate shows the revisions of an update that have not been shown.
func (w *watcher) showUpdate(ctx context.Context, conn *rpc.Conn, update controlapi.IntentUpdate) (done bool, err error) {
	if update.ToRevision <= w.lastRevision {
		return w.limitReached(), nil
	}
	if update.Snapshot != nil {
		return w.showSnapshot(update.Snapshot.Revision, w.entries(ctx, conn))
	}
	if update.FromRevision > w.lastRevision {
		return false, missingUpdateError{}
	}
	for i := range update.Changes {
		change := &update.Changes[i]
		// An accepted change creates the revision after its base revision.
		revision := change.BaseRevision + 1
		if revision <= w.lastRevision {
			continue
		}
		if err := w.showRevision(watchOutput{Revision: revision, Change: change, Summary: changeSummary(*change)}); err != nil {
			return false, err
		}
		if w.limitReached() {
			return true, nil
		}
	}
	return false, nil
}

// fetchHistory returns the latest history entries, which a snapshot does not
// contain. If the call fails, only the revision of the snapshot is shown.
func (w *watcher) entries(ctx context.Context, conn *rpc.Conn) []intent.HistoryEntry {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var entries []intent.HistoryEntry
	if conn.Call(ctx, controlapi.IntentHistory, controlapi.HistoryRequest{Limit: maxHistoryEntries}, &entries) != nil {
		return nil
	}
	return entries
}

// showSnapshot shows the history entries up to the revision of a snapshot, and
// names the gaps between them. Later entries arrive with the next update.
func (w *watcher) showSnapshot(revision uint64, entries []intent.HistoryEntry) (bool, error) {
	for _, entry := range entries {
		if entry.Revision <= w.lastRevision || entry.Revision > revision {
			continue
		}
		if done, err := w.showGap(entry.Revision - 1); done || err != nil {
			return done, err
		}
		if err := w.showRevision(watchOutput{Revision: entry.Revision, Summary: entry.Summary}); err != nil {
			return false, err
		}
		if w.limitReached() {
			return true, nil
		}
	}
	return w.showGap(revision)
}

// showGap shows one line for all revisions up to a revision whose changes the
// server no longer keeps in its history.
func (w *watcher) showGap(revision uint64) (bool, error) {
	if revision <= w.lastRevision {
		return false, nil
	}
	summary := fmt.Sprintf("the changes after revision %d are no longer in the history", w.lastRevision)
	err := w.showRevision(watchOutput{Revision: revision, Summary: summary})
	return w.limitReached(), err
}

func (w *watcher) limitReached() bool { return w.maxShown > 0 && w.shownCount >= w.maxShown }

func (w *watcher) showRevision(shown watchOutput) error {
	w.lastRevision = shown.Revision
	w.shownCount++
	return w.session.out.print(shown, func(out io.Writer) { printLine(out, "revision %d: %s", shown.Revision, shown.Summary) })
}

// updateQueue stores notifications in the order in which they arrive. Adding to
// it never blocks, because the connection's responses are read by the same
// goroutine as its notifications.
type updateQueue struct {
	mu        sync.Mutex
	updates   []controlapi.IntentUpdate
	available chan struct{}
}

func (q *updateQueue) handleNotification(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	update, err := rpc.Decode[controlapi.IntentUpdate](params)
	if err != nil {
		return nil, err
	}
	q.mu.Lock()
	q.updates = append(q.updates, update)
	q.mu.Unlock()
	select {
	case q.available <- struct{}{}:
	default:
	}
	return nil, nil
}

func (q *updateQueue) drain() []controlapi.IntentUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	drained := q.updates
	q.updates = nil
	return drained
}
