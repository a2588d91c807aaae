package control

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// proposeHere commits a command through this replica, which must lead.
func (r *replica) proposeHere(ctx context.Context, command []byte) (intent.Result, error) {
	answer := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{command: command, answer: answer}:
	case <-r.stopped:
		return intent.Result{}, errStopped
	case <-ctx.Done():
		return intent.Result{}, ctx.Err()
	}
	return r.await(ctx, answer)
}

// readHere returns when the published state includes everything that was
// committed before the call. This replica must lead.
func (r *replica) readHere(ctx context.Context) error {
	answer := make(chan outcome, 1)
	select {
	case r.reads <- answer:
	case <-r.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := r.await(ctx, answer)
	return err
}

func (r *replica) await(ctx context.Context, answer <-chan outcome) (intent.Result, error) {
	select {
	case o := <-answer:
		return o.result, o.err
	case <-r.stopped:
		return intent.Result{}, errStopped
	case <-ctx.Done():
		return intent.Result{}, ctx.Err()
	}
}

// transfer asks another replica to lead.
func (r *replica) transfer() {
	select {
	case r.transfers <- struct{}{}:
	default:
	}
}
