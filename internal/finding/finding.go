// Package finding collects problems of an input together with their place, so
// that all of them can be reported in one answer.
package finding

import (
	"fmt"
	"strings"
)

// Severity says whether a finding rejects the input.
type Severity string

// The severities of a finding.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Location says where in the input a finding was made. Zero fields are not shown.
type Location struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column string `json:"column,omitempty"`
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
}

func (p Location) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	appendWord(&b, "column", p.Column)
	appendWord(&b, "", p.Object)
	appendWord(&b, "field", p.Field)
	return strings.TrimSpace(b.String())
}

func appendWord(b *strings.Builder, label, value string) {
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

// Finding is one problem.
type Finding struct {
	Location Location `json:"place"`
	Severity Severity `json:"severity"`
	Reason   string   `json:"reason"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Location, f.Severity, f.Reason)
}

// List is a collection of findings in the order in which they were made.
type List struct {
	Findings []Finding `json:"findings"`
}

// Errorf adds a finding that rejects the input.
func (l *List) Errorf(place Location, format string, args ...any) {
	l.add(place, Error, format, args...)
}

// Warnf adds a finding that does not reject the input.
func (l *List) Warnf(place Location, format string, args ...any) {
	l.add(place, Warning, format, args...)
}

func (l *List) add(place Location, severity Severity, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{Location: place, Severity: severity, Reason: fmt.Sprintf(format, args...)})
}

// Append adds all findings of another list.
func (l *List) Append(other List) { l.Findings = append(l.Findings, other.Findings...) }

// HasErrors reports whether at least one finding rejects the input.
func (l *List) HasErrors() bool {
	for _, f := range l.Findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Err returns nil if no finding rejects the input, and otherwise an error with
// every finding.
func (l *List) Err() error {
	if !l.HasErrors() {
		return nil
	}
	return &ListError{List: *l}
}

// ListError is the error form of a list of findings.
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
