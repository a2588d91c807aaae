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
	operationBytes    = 16
	maxOperationBytes = 128
)

// changeFlags are shared by all commands that change the intent. The operation
// id and the base revision are not read from the environment: a value left
// there would turn the next command into a retry of an earlier one.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		switchFlag("dry-run", "show what the change would do and change nothing"),
		&cli.StringFlag{Name: "operation-id", Usage: "operation id of an earlier attempt; generated if unset"},
		&cli.StringFlag{Name: "base-revision", Usage: "revision on which the change is based; the current one if unset"},
	}
}

// changeOptions are the values of changeFlags.
type changeOptions struct {
	dryRun      bool
	operationID string
	base        *uint64
}

func (in *input) changeOptions() changeOptions {
	o := changeOptions{dryRun: in.toggle("dry-run"), operationID: in.text("operation-id")}
	if len(o.operationID) > maxOperationBytes {
		in.fail("operation-id", "has %d bytes: at most %d are allowed", len(o.operationID), maxOperationBytes)
	}
	if o.operationID == "" {
		o.operationID = newOperationID()
	}
	if text := in.text("base-revision"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			in.fail("base-revision", "%q: want a revision number", text)
		}
		o.base = &base
	}
	return o
}

func newOperationID() string {
	var b [operationBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// changeAnswer is what a change command shows.
type changeAnswer struct {
	Outcome      intent.Outcome `json:"outcome"`
	Revision     uint64         `json:"revision"`
	BaseRevision uint64         `json:"base_revision"`
	OperationID  string         `json:"operation_id"`
	DryRun       bool           `json:"dry_run"`
	Change       string         `json:"change"`
}

// currentState reads the state, confirmed by a quorum, on which a change is
// based.
func (s *session) currentState(ctx context.Context) (*intent.State, error) {
	var state intent.State
	err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{Linearizable: true}, &state)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.Unchanged = true
	}
	return &state, err
}

// propose sends a change whose kind and content are set. The base is the
// revision that the command has read, unless the operator gave one.
func (s *session) propose(ctx context.Context, o changeOptions, read *intent.State, c intent.Change) error {
	c.OperationID = o.operationID
	c.Operator = s.operator
	base, err := s.baseRevision(ctx, o, read)
	if err != nil {
		return err
	}
	c.BaseRevision = base
	var result intent.Result
	err = s.client.call(ctx, controlapi.IntentPropose, controlapi.ProposeRequest{Change: c, DryRun: o.dryRun}, &result)
	if err != nil {
		return outcomeOf(err, o, c)
	}
	return s.showResult(result, o, c)
}

// outcomeOf adds to the error of a proposal whether the change may have been
// accepted, and how to find out.
func outcomeOf(err error, o changeOptions, c intent.Change) error {
	repeat := fmt.Sprintf("--operation-id %s --base-revision %d", c.OperationID, c.BaseRevision)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.Unchanged = o.dryRun || !unavailable.Sent
		if !unavailable.Unchanged {
			unavailable.Repeat = repeat
		}
		return err
	}
	if code, _ := exitCode(err); code == ExitFailure && !o.dryRun {
		return fmt.Errorf("%w\nthe outcome is unknown; repeat the command with %s to get the first answer", err, repeat)
	}
	return err
}

func (s *session) baseRevision(ctx context.Context, o changeOptions, read *intent.State) (uint64, error) {
	if o.base != nil {
		return *o.base, nil
	}
	if read == nil {
		state, err := s.currentState(ctx)
		if err != nil {
			return 0, err
		}
		read = state
	}
	return read.Revision, nil
}

func (s *session) showResult(r intent.Result, o changeOptions, c intent.Change) error {
	switch r.Outcome {
	case intent.Conflict:
		return &ConflictError{Result: r}
	case intent.Rejected:
		return &RejectedError{Reason: r.Reason}
	case intent.Accepted:
	default:
		return fmt.Errorf("the server answered with the unknown outcome %q", r.Outcome)
	}
	answer := changeAnswer{
		Outcome: r.Outcome, Revision: r.Revision, BaseRevision: c.BaseRevision,
		OperationID: c.OperationID, DryRun: o.dryRun, Change: describe(c),
	}
	return s.out.show(answer, func(w io.Writer) {
		if o.dryRun {
			line(w, "dry run: %s would be accepted as revision %d; nothing was changed", answer.Change, r.Revision)
			return
		}
		line(w, "accepted as revision %d: %s", r.Revision, answer.Change)
		line(w, "operation %s on base revision %d", c.OperationID, c.BaseRevision)
	})
}

// describe states a change in one line.
func describe(c intent.Change) string {
	switch {
	case c.Inventory != nil:
		return fmt.Sprintf("inventory of %d VMs and %d services", len(c.Inventory.Machines), len(c.Inventory.Services))
	case c.Traffic != nil:
		return fmt.Sprintf("service %s traffic %s", c.Traffic.Service, onOff(c.Traffic.Enabled))
	case c.Leaving != nil && c.Leaving.Leaving:
		return fmt.Sprintf("vm %s leaves", c.Leaving.VM)
	case c.Leaving != nil:
		return fmt.Sprintf("vm %s returns", c.Leaving.VM)
	case c.Contract != nil:
		k := c.Contract.Contract
		return fmt.Sprintf("service %s contract idempotent=%t shape=%s queue-deadline=%s priority=%s",
			c.Contract.Service, k.Idempotent, k.Shape, k.QueueDeadline, k.Priority)
	case c.Remove != nil:
		return c.Remove.String()
	}
	return string(c.Kind)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
