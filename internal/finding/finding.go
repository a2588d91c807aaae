// Package finding collects the problems of an input together with their
// locations, so that all of them can be reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Severity states whether a finding causes the input to be rejected.
type Severity string

// The severities of a finding. Only Error causes the input to be rejected.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Location is the part of the input that a finding is about. Empty fields are
// omitted from the text and from JSON.
type Location struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column string `json:"column,omitempty"`
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
}

func (l Location) String() string {
	var b strings.Builder
	b.WriteString(l.File)
	if l.Line > 0 {
		fmt.Fprintf(&b, ":%d", l.Line)
	}
	appendLabelled(&b, "column", l.Column)
	appendLabelled(&b, "", l.Object)
	appendLabelled(&b, "field", l.Field)
	return strings.TrimSpace(b.String())
}

func appendLabelled(b *strings.Builder, label, value string) {
	if value == "" {
		return
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if label != "" {
		b.WriteString(label + " ")
	}
	b.WriteString(value)
}

// Finding is one problem of an input.
type Finding struct {
	Location Location `json:"place"`
	Severity Severity `json:"severity"`
	Reason   string   `json:"reason"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Location, f.Severity, f.Reason)
}

// List holds findings in the order in which they were added.
type List struct {
	Findings []Finding `json:"findings"`
}

// Errorf adds a finding that causes the input to be rejected.
func (l *List) Errorf(location Location, format string, args ...any) {
	l.add(location, Error, format, args...)
}

// Warnf adds a finding that does not cause the input to be rejected.
func (l *List) Warnf(location Location, format string, args ...any) {
	l.add(location, Warning, format, args...)
}

func (l *List) add(location Location, severity Severity, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{Location: location, Severity: severity, Reason: fmt.Sprintf(format, args...)})
}

// Append adds all findings of other.
func (l *List) Append(other List) { l.Findings = append(l.Findings, other.Findings...) }

// HasErrors reports whether at least one finding has the severity Error.
func (l *List) HasErrors() bool {
	for _, f := range l.Findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Err returns a ListError with all findings, including the warnings, if at least
// one finding has the severity Error. Otherwise it returns nil.
func (l *List) Err() error {
	if !l.HasErrors() {
		return nil
	}
	return &ListError{List: *l}
}

// ListError is an error that holds a list of findings.
type ListError struct {
	List List
}

func (e *ListError) Error() string {
	lines := make([]string, 0, len(e.List.Findings))
	for _, f := range e.List.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
