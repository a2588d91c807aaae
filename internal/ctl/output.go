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

// printer writes the output of a command as plain text, or as one JSON document
// per line.
type printer struct {
	w    io.Writer
	json bool
}

// print writes value as JSON if JSON output is selected. Otherwise it calls
// writeText.
func (p *printer) print(value any, writeText func(w io.Writer)) error {
	if p.json {
		return json.NewEncoder(p.w).Encode(value)
	}
	writeText(p.w)
	return nil
}

// printTable writes rows in aligned columns. The first row is the heading. An
// empty cell is shown as a dash.
func printTable(w io.Writer, rows [][]string) {
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

// printLine writes one line. Write errors, as from a closed output, are ignored
// because the exit code still reports the result.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// errorOutput is an error as JSON output.
type errorOutput struct {
	Error      string            `json:"error"`
	ExitCode   int               `json:"exit_code"`
	Message    string            `json:"message"`
	Findings   []finding.Finding `json:"findings,omitempty"`
	Result     *intent.Result    `json:"result,omitempty"`
	RetryFlags string            `json:"repeat,omitempty"`
}

// reportError writes an error to stderr and returns the exit code.
func reportError(w io.Writer, asJSON bool, err error) int {
	code, name := classifyError(err)
	if err == nil {
		return code
	}
	if !asJSON {
		printLine(w, "%v", err)
		return code
	}
	output := errorOutput{Error: name, ExitCode: code, Message: err.Error()}
	var (
		usage       *UsageError
		rejected    *RejectedError
		conflict    *ConflictError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &usage):
		output.Findings = usage.Findings.Findings
	case errors.As(err, &rejected):
		output.Findings = rejected.Findings.Findings
	case errors.As(err, &conflict):
		output.Result = &conflict.Result
	case errors.As(err, &unavailable):
		output.RetryFlags = unavailable.RetryFlags
	}
	_ = json.NewEncoder(w).Encode(output)
	return code
}
