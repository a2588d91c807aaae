package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
)

// proposeRetryInterval is the wait before a change is sent again. Sending it again is
// safe because of its operation ID.
const proposeRetryInterval = 200 * time.Millisecond

// Propose sends a change, based on the current revision, to one control replica after
// the other until one returns a result.
func (f *Fleet) Propose(ctx context.Context, change intent.Change) (intent.Result, error) {
	for attempt := 0; ; attempt++ {
		result, err := f.proposeOnce(ctx, f.controlAddresses[attempt%len(f.controlAddresses)], change)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, errors.Join(err, ctx.Err())
		case <-time.After(proposeRetryInterval):
		}
	}
}

func (f *Fleet) proposeOnce(ctx context.Context, address string, change intent.Change) (intent.Result, error) {
	var result intent.Result
	conn, err := rpc.Dial(ctx, address, nil, rpc.Methods{}.Handler())
	if err != nil {
		return result, err
	}
	defer func() { _ = conn.Close() }()
	var state intent.State
	if err := conn.Call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state); err != nil {
		return result, fmt.Errorf("get intent: %w", err)
	}
	change.BaseRevision = state.Revision
	if err := conn.Call(ctx, controlapi.IntentPropose, controlapi.ProposeRequest{Change: change}, &result); err != nil {
		return result, fmt.Errorf("propose: %w", err)
	}
	return result, nil
}

// Configure imports the inventory of the plan and sets the contracts of its
// services.
func (f *Fleet) Configure(ctx context.Context) error {
	inventory := f.Plan.Inventory()
	changes := []intent.Change{{OperationID: "dev-inventory", Kind: intent.KindInventory, Inventory: &inventory}}
	for _, s := range f.Plan.Services {
		changes = append(changes, intent.Change{
			OperationID: "dev-contract-" + string(s.Name), Kind: intent.KindContract,
			Contract: &intent.ContractRule{Service: s.Name, Contract: s.Contract},
		})
	}
	for _, change := range changes {
		change.Operator = "bramley-dev"
		result, err := f.Propose(ctx, change)
		if err != nil {
			return err
		}
		if result.Outcome != intent.Accepted {
			return fmt.Errorf("%s: %s: %s", change.OperationID, result.Outcome, result.Reason)
		}
	}
	return nil
}
