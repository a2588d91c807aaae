// Package zone defines the identifiers of availability zones.
package zone

import (
	"fmt"
	"strings"
)

// ID identifies an availability zone within a region. It is comparable and can be
// used as a map key.
type ID struct {
	Region string `json:"region"`
	Name   string `json:"name"`
}

// Parse parses a zone of the form "region/zone".
func Parse(s string) (ID, error) {
	region, name, ok := strings.Cut(s, "/")
	if !ok || region == "" || name == "" || strings.Contains(name, "/") {
		return ID{}, &SyntaxError{Text: s}
	}
	return ID{Region: region, Name: name}, nil
}

// SyntaxError is the error of a text that is not of the form "region/zone".
type SyntaxError struct {
	Text string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("zone %q: want the form region/zone", e.Text)
}

// String returns the form that Parse accepts.
func (id ID) String() string { return id.Region + "/" + id.Name }

// IsZero reports whether the zone is unset.
func (id ID) IsZero() bool { return id == ID{} }

// SameRegion reports whether both zones are in the same region.
func (id ID) SameRegion(other ID) bool { return id.Region == other.Region }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	if id.IsZero() {
		return nil, nil
	}
	return []byte(id.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*id = ID{}
		return nil
	}
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}
