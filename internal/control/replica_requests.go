package control

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// submitProposal commits a command through this replica and returns its
// result. This replica must be the leader.
func (r *replica) submitProposal(ctx context.Context, command []byte) (intent.Result, error) {
	response := make(chan requestResult, 1)
	select {
	case r.proposals <- proposal{command: command, response: response}:
	case <-r.stopped:
		return intent.Result{}, errReplicaStopped
	case <-ctx.Done():
		return intent.Result{}, ctx.Err()
	}
	return r.awaitResponse(ctx, response)
}

// readBarrier returns once the published state includes everything that was
// committed before the call. This replica must be the leader.
func (r *replica) readBarrier(ctx context.Context) error {
	response := make(chan requestResult, 1)
	select {
	case r.readRequests <- response:
	case <-r.stopped:
		return errReplicaStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := r.awaitResponse(ctx, response)
	return err
}

func (r *replica) awaitResponse(ctx context.Context, response <-chan requestResult) (intent.Result, error) {
	select {
	case result := <-response:
		return result.result, result.err
	case <-r.stopped:
		return intent.Result{}, errReplicaStopped
	case <-ctx.Done():
		return intent.Result{}, ctx.Err()
	}
}

// requestTransfer makes the replica transfer its leadership to another voter.
// It does not wait for the transfer.
func (r *replica) requestTransfer() {
	select {
	case r.transferRequests <- struct{}{}:
	default:
	}
}
