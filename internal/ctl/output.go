package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// printer writes text for people, or one JSON document per line.
type printer struct {
	w    io.Writer
	json bool
}

// show writes the JSON value, or else the text.
func (p *printer) show(value any, text func(w io.Writer)) error {
	if p.json {
		return json.NewEncoder(p.w).Encode(value)
	}
	text(p.w)
	return nil
}

// table writes rows in aligned columns; the first row is the heading.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, text := range row {
			if i > 0 {
				_, _ = fmt.Fprint(t, "\t")
			}
			_, _ = fmt.Fprint(t, orDash(text))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// line writes one line. Errors of writing to a closed output are ignored, as
// the exit code still tells the outcome.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// failure is the form of an error with --json.
type failure struct {
	Error    string            `json:"error"`
	ExitCode int               `json:"exit_code"`
	Message  string            `json:"message"`
	Findings []finding.Finding `json:"findings,omitempty"`
	Result   *intent.Result    `json:"result,omitempty"`
	Repeat   string            `json:"repeat,omitempty"`
}

// report writes an error to stderr and returns the exit code.
func report(w io.Writer, asJSON bool, err error) int {
	code, name := exitCode(err)
	if err == nil {
		return code
	}
	if !asJSON {
		line(w, "%v", err)
		return code
	}
	f := failure{Error: name, ExitCode: code, Message: err.Error()}
	var (
		usage       *UsageError
		rejected    *RejectedError
		conflict    *ConflictError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &usage):
		f.Findings = usage.List.Findings
	case errors.As(err, &rejected):
		f.Findings = rejected.List.Findings
	case errors.As(err, &conflict):
		f.Result = &conflict.Result
	case errors.As(err, &unavailable):
		f.Repeat = unavailable.Repeat
	}
	_ = json.NewEncoder(w).Encode(f)
	return code
}
