package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	operationIDBytes    = 16
	maxOperationIDBytes = 128
)

// changeFlags are shared by all commands that change the intent. The operation
// ID and the base revision are not read from the environment. A value left
// there would turn the next command into a retry of an earlier one.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		boolFlag("dry-run", "show what the change would do and change nothing"),
		&cli.StringFlag{Name: "operation-id", Usage: "operation id of an earlier attempt; generated if unset"},
		&cli.StringFlag{Name: "base-revision", Usage: "revision on which the change is based; the current one if unset"},
	}
}

// changeOptions holds the parsed values of changeFlags.
type changeOptions struct {
	dryRun      bool
	operationID string
	// baseRevision is nil if the operator set no base revision.
	baseRevision *uint64
}

func (in *invocationInput) changeOptions() changeOptions {
	options := changeOptions{dryRun: in.boolValue("dry-run"), operationID: in.stringValue("operation-id")}
	if len(options.operationID) > maxOperationIDBytes {
		in.addError("operation-id", "has %d bytes: at most %d are allowed", len(options.operationID), maxOperationIDBytes)
	}
	if options.operationID == "" {
		options.operationID = newOperationID()
	}
	if revisionText := in.stringValue("base-revision"); revisionText != "" {
		revision, err := strconv.ParseUint(revisionText, 10, 64)
		if err != nil {
			in.addError("base-revision", "%q: want a revision number", revisionText)
		}
		options.baseRevision = &revision
	}
	return options
}

func newOperationID() string {
	var random [operationIDBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// changeOutput is the output of a change command.
type changeOutput struct {
	Outcome      intent.Outcome `json:"outcome"`
	Revision     uint64         `json:"revision"`
	BaseRevision uint64         `json:"base_revision"`
	OperationID  string         `json:"operation_id"`
	DryRun       bool           `json:"dry_run"`
	Change       string         `json:"change"`
}

// linearizableState reads the state on which a change is based. A quorum of the
// control replicas confirms the read.
func (s *session) linearizableState(ctx context.Context) (*intent.State, error) {
	var state intent.State
	err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{Linearizable: true}, &state)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.NothingChanged = true
	}
	return &state, err
}

// propose sends a change whose kind and content are set. The base revision is
// the one that the operator gave. Otherwise it is the revision of knownState.
// If knownState is nil, the current state is read first.
func (s *session) propose(ctx context.Context, options changeOptions, knownState *intent.State, change intent.Change) error {
	change.OperationID = options.operationID
	change.Operator = s.operator
	baseRevision, err := s.baseRevisionOf(ctx, options, knownState)
	if err != nil {
		return err
	}
	change.BaseRevision = baseRevision
	var result intent.Result
	err = s.client.call(ctx, controlapi.IntentPropose, controlapi.ProposeRequest{Change: change, DryRun: options.dryRun}, &result)
	if err != nil {
		return explainProposalError(err, options, change)
	}
	return s.printResult(result, options, change)
}

// explainProposalError adds to the error of a proposal whether the change may
// have been accepted. If it may have been, it adds the flags with which a
// repeated command returns the original result.
func explainProposalError(err error, options changeOptions, change intent.Change) error {
	retryFlags := fmt.Sprintf("--operation-id %s --base-revision %d", change.OperationID, change.BaseRevision)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.NothingChanged = options.dryRun || !unavailable.MayHaveExecuted
		if !unavailable.NothingChanged {
			unavailable.RetryFlags = retryFlags
		}
		return err
	}
	if code, _ := classifyError(err); code == ExitFailure && !options.dryRun {
		return fmt.Errorf("%w\nthe outcome is unknown; repeat the command with %s to get the original result", err, retryFlags)
	}
	return err
}

func (s *session) baseRevisionOf(ctx context.Context, options changeOptions, knownState *intent.State) (uint64, error) {
	if options.baseRevision != nil {
		return *options.baseRevision, nil
	}
	if knownState == nil {
		state, err := s.linearizableState(ctx)
		if err != nil {
			return 0, err
		}
		knownState = state
	}
	return knownState.Revision, nil
}

func (s *session) printResult(result intent.Result, options changeOptions, change intent.Change) error {
	switch result.Outcome {
	case intent.Conflict:
		return &ConflictError{Result: result}
	case intent.Rejected:
		return &RejectedError{Reason: result.Reason}
	case intent.Accepted:
	default:
		return fmt.Errorf("the server returned the unknown outcome %q", result.Outcome)
	}
	output := changeOutput{
		Outcome: result.Outcome, Revision: result.Revision, BaseRevision: change.BaseRevision,
		OperationID: change.OperationID, DryRun: options.dryRun, Change: changeSummary(change),
	}
	return s.out.print(output, func(w io.Writer) {
		if options.dryRun {
			printLine(w, "dry run: %s would be accepted as revision %d; nothing was changed", output.Change, result.Revision)
			return
		}
		printLine(w, "accepted as revision %d: %s", result.Revision, output.Change)
		printLine(w, "operation %s on base revision %d", change.OperationID, change.BaseRevision)
	})
}

// changeSummary describes a change in one line.
func changeSummary(change intent.Change) string {
	switch {
	case change.Inventory != nil:
		return fmt.Sprintf("inventory of %d VMs and %d services", len(change.Inventory.VMs), len(change.Inventory.Services))
	case change.Traffic != nil:
		return fmt.Sprintf("service %s traffic %s", change.Traffic.Service, onOff(change.Traffic.Enabled))
	case change.Leaving != nil && change.Leaving.Leaving:
		return fmt.Sprintf("vm %s leaves", change.Leaving.VM)
	case change.Leaving != nil:
		return fmt.Sprintf("vm %s returns", change.Leaving.VM)
	case change.Contract != nil:
		contract := change.Contract.Contract
		return fmt.Sprintf("service %s contract idempotent=%t shape=%s queue-deadline=%s priority=%s%s",
			change.Contract.Service, contract.Idempotent, contract.Shape, contract.QueueDeadline, contract.Priority, contract.WarmUpText())
	case change.Remove != nil:
		return change.Remove.String()
	case change.Zone != nil:
		return change.Zone.Summary()
	}
	return string(change.Kind)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
