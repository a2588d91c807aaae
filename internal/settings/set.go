package settings

import (
	"encoding"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
)

// flagNameTag is the struct tag that holds the name of a validated field's setting.
const flagNameTag = "flag"

// FlagSet collects the settings of a program. The values of the settings are set and
// valid after Validate has returned nil.
type FlagSet struct {
	flags   []cli.Flag
	parsers []func(*finding.List)
	groups  []any
	checks  []func(*finding.List)
	// unparsable has the names of the settings whose text could not be parsed.
	unparsable map[string]bool
}

// Group is a struct whose fields are settings. Fields carry `flag:"name"` and
// may carry `validate:"…"` tags.
type Group interface {
	Register(s *FlagSet)
}

// NewFlagSet returns a set with the settings of the given groups.
func NewFlagSet(groups ...Group) *FlagSet {
	s := &FlagSet{unparsable: map[string]bool{}}
	for _, g := range groups {
		g.Register(s)
		s.groups = append(s.groups, g)
	}
	return s
}

// Flags returns the flags for a cli.Command.
func (s *FlagSet) Flags() []cli.Flag { return s.flags }

// Check adds a validation that depends on several settings.
func (s *FlagSet) Check(check func(*finding.List)) { s.checks = append(s.checks, check) }

// EnvName returns the environment variable of a setting.
func EnvName(name string) string {
	return "BRAMLEY_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Location returns the location of a finding about a setting.
func Location(name string) finding.Location {
	return finding.Location{Object: "setting --" + name, Field: EnvName(name)}
}

// AddFlag defines a setting. Its text is parsed in Validate. The flag library would stop
// at the first invalid value.
func AddFlag[T any](s *FlagSet, target *T, name, defaultText, usage string, parse func(string) (T, error)) {
	text := new(string)
	s.flags = append(s.flags, &cli.StringFlag{
		Name: name, Value: defaultText, Usage: usage, Destination: text, Sources: cli.EnvVars(EnvName(name)),
	})
	s.parsers = append(s.parsers, func(findings *finding.List) {
		value, err := parse(*text)
		if err != nil {
			s.unparsable[name] = true
			findings.Errorf(Location(name), "%q: %v", *text, err)
			return
		}
		*target = value
	})
}

// String defines a text setting.
func String[T ~string](s *FlagSet, target *T, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, func(text string) (T, error) { return T(text), nil })
}

// Strings defines a setting that is a comma-separated list.
func Strings(s *FlagSet, target *[]string, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, func(text string) ([]string, error) {
		if text == "" {
			return nil, nil
		}
		return strings.Split(text, ","), nil
	})
}

// Duration defines a duration setting such as 1.5s.
func Duration(s *FlagSet, target *time.Duration, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, time.ParseDuration)
}

// Int defines an integer setting.
func Int(s *FlagSet, target *int, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return 0, errors.New("not an integer")
		}
		return value, nil
	})
}

// Bool defines a setting that is true or false.
func Bool(s *FlagSet, target *bool, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, func(text string) (bool, error) {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return false, errors.New("neither true nor false")
		}
		return value, nil
	})
}

// Text defines a setting of a type that implements encoding.TextUnmarshaler. An empty text
// leaves the zero value; use a validate tag to require one.
func Text[T any, P interface {
	*T
	encoding.TextUnmarshaler
}](s *FlagSet, target *T, name, defaultText, usage string) {
	AddFlag(s, target, name, defaultText, usage, func(text string) (T, error) {
		var value T
		if text == "" {
			return value, nil
		}
		err := P(&value).UnmarshalText([]byte(text))
		return value, err
	})
}

// Validate parses and validates all settings. The error is a
// *finding.ListError with every invalid setting.
func (s *FlagSet) Validate() error {
	findings := finding.List{}
	for _, parse := range s.parsers {
		parse(&findings)
	}
	for _, group := range s.groups {
		s.validateGroup(group, &findings)
	}
	for _, check := range s.checks {
		check(&findings)
	}
	return findings.Err()
}

func (s *FlagSet) validateGroup(group any, findings *finding.List) {
	v := validator.New(validator.WithRequiredStructEnabled())
	// "listen" allows port 0, which hostname_port does not.
	_ = v.RegisterValidation("listen", func(f validator.FieldLevel) bool {
		_, port, err := net.SplitHostPort(f.Field().String())
		if err != nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	})
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get(flagNameTag) })
	var failures validator.ValidationErrors
	err := v.Struct(group)
	if err == nil || !errors.As(err, &failures) {
		return
	}
	var reported []string
	for _, f := range failures {
		// The field name of a list element ends with its index in brackets.
		name, _, _ := strings.Cut(f.Field(), "[")
		if s.unparsable[name] || slices.Contains(reported, name) {
			continue
		}
		reported = append(reported, name)
		findings.Errorf(Location(name), "%s", violationReason(f))
	}
}

func violationReason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "hostname_port", "listen":
		return fmt.Sprintf("%q: want host:port", f.Value())
	}
	return strings.TrimSpace(fmt.Sprintf("%v: must satisfy %s %s", f.Value(), f.Tag(), f.Param()))
}
