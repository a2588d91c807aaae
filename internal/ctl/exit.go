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
	ExitUsage         = 2 // invalid settings or arguments; no request was sent
	ExitRejected      = 3 // the input or the change breaks a rule
	ExitConflict      = 4 // another change was accepted first
	ExitUnavailable   = 5 // no control address returned a usable response
	ExitNotAuthorized = 6 // the certificate does not allow the request
)

// UsageError holds every invalid setting or argument of one invocation.
type UsageError struct {
	Findings finding.List
}

func (e *UsageError) Error() string { return (&finding.ListError{List: e.Findings}).Error() }

// RejectedError reports an input or a change that breaks a rule.
type RejectedError struct {
	Reason   string
	Findings finding.List
}

func (e *RejectedError) Error() string {
	if len(e.Findings.Findings) == 0 {
		return "rejected: " + e.Reason
	}
	return "rejected: " + e.Reason + "\n" + (&finding.ListError{List: e.Findings}).Error()
}

// ConflictError reports that another change was already accepted on top of the
// base revision.
type ConflictError struct {
	Result intent.Result
}

func (e *ConflictError) Error() string {
	text := "conflict: " + e.Result.Reason
	if conflicting := e.Result.ConflictingChange; conflicting != nil {
		text += fmt.Sprintf("\nrevision %d was made by operation %s of operator %q: %s",
			conflicting.Revision, conflicting.OperationID, conflicting.Operator, conflicting.Summary)
	}
	return text + "\nnothing was changed; check the current state and repeat the command"
}

// UnavailableError reports that no attempt got a usable response.
type UnavailableError struct {
	Method    string
	Attempts  int
	Reason    string
	LastError error
	// MayHaveExecuted is set if a control VM may have executed the request.
	MayHaveExecuted bool
	// RetryFlags are the flags with which a repeated command returns the
	// original result. They are set for a change that was sent.
	RetryFlags string
	// NothingChanged is set if the request was not sent, was a dry run or was
	// a read.
	NothingChanged bool
}

func (e *UnavailableError) Error() string {
	text := fmt.Sprintf("unavailable: %s failed after %d attempts (%s): %v", e.Method, e.Attempts, e.Reason, e.LastError)
	if e.RetryFlags != "" {
		text += "\nthe outcome is unknown; repeat the command with " + e.RetryFlags + " to get the original result"
	}
	if e.NothingChanged {
		text += "\nthis command changed nothing"
	}
	return text
}

func (e *UnavailableError) Unwrap() error { return e.LastError }

// NotAuthorizedError reports a request that the certificate does not allow.
type NotAuthorizedError struct {
	Method string
	Reason string
}

func (e *NotAuthorizedError) Error() string {
	return fmt.Sprintf("not authorised: %s: %s", e.Method, e.Reason)
}

// classifyError maps an error to the exit code and to the error name of the
// JSON output.
func classifyError(err error) (int, string) {
	var (
		usage       *UsageError
		rejected    *RejectedError
		conflict    *ConflictError
		unavailable *UnavailableError
		denied      *NotAuthorizedError
		state       *keys.FileError
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
