package ctl

import (
	"errors"
	"fmt"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/keys"
)

// The exit codes of bramleyctl.
const (
	ExitOK            = 0
	ExitFailure       = 1 // local failure, for example a file that cannot be read
	ExitUsage         = 2 // invalid settings or arguments; nothing was sent
	ExitRejected      = 3 // the input or the change breaks a rule
	ExitConflict      = 4 // another change was accepted first
	ExitUnavailable   = 5 // no usable answer from any control address
	ExitNotAuthorized = 6 // the certificate does not allow the request
)

// UsageError holds every invalid setting or argument of one call.
type UsageError struct {
	List finding.List
}

func (e *UsageError) Error() string { return (&finding.ListError{List: e.List}).Error() }

// RejectedError reports an input or a change that breaks a rule.
type RejectedError struct {
	Reason string
	List   finding.List
}

func (e *RejectedError) Error() string {
	if len(e.List.Findings) == 0 {
		return "rejected: " + e.Reason
	}
	return "rejected: " + e.Reason + "\n" + (&finding.ListError{List: e.List}).Error()
}

// ConflictError reports that another change was accepted on the base revision.
type ConflictError struct {
	Result intent.Result
}

func (e *ConflictError) Error() string {
	text := "conflict: " + e.Result.Reason
	if w := e.Result.ConflictingChange; w != nil {
		text += fmt.Sprintf("\nrevision %d was made by operation %s of operator %q: %s",
			w.Revision, w.OperationID, w.Operator, w.Summary)
	}
	return text + "\nnothing was changed; look at the current state and repeat the command"
}

// UnavailableError reports that no attempt gave a usable answer.
type UnavailableError struct {
	Method   string
	Attempts int
	Reason   string
	Last     error
	// Sent is set if a control VM may have executed the request.
	Sent bool
	// Repeat is how to get the outcome of a change that was sent.
	Repeat string
	// Unchanged is set for a change that was not sent.
	Unchanged bool
}

func (e *UnavailableError) Error() string {
	text := fmt.Sprintf("unavailable: %s failed after %d attempts (%s): %v", e.Method, e.Attempts, e.Reason, e.Last)
	if e.Repeat != "" {
		text += "\nthe outcome is unknown; repeat the command with " + e.Repeat + " to get the first answer"
	}
	if e.Unchanged {
		text += "\nthis command changed nothing"
	}
	return text
}

func (e *UnavailableError) Unwrap() error { return e.Last }

// NotAuthorizedError reports a request that the certificate does not allow.
type NotAuthorizedError struct {
	Method string
	Reason string
}

func (e *NotAuthorizedError) Error() string {
	return fmt.Sprintf("not authorised: %s: %s", e.Method, e.Reason)
}

// exitCode maps an error to the exit code and the name that --json shows.
func exitCode(err error) (int, string) {
	var (
		usage       *UsageError
		rejected    *RejectedError
		conflict    *ConflictError
		unavailable *UnavailableError
		denied      *NotAuthorizedError
		state       *keys.StateError
	)
	switch {
	case err == nil:
		return ExitOK, "ok"
	case errors.As(err, &usage):
		return ExitUsage, "usage"
	case errors.As(err, &rejected), errors.As(err, &state):
		return ExitRejected, "rejected"
	case errors.As(err, &conflict):
		return ExitConflict, "conflict"
	case errors.As(err, &unavailable):
		return ExitUnavailable, "unavailable"
	case errors.As(err, &denied):
		return ExitNotAuthorized, "not authorised"
	}
	return ExitFailure, "failure"
}
