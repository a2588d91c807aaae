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

// flagTag names the struct tag that ties a validated field to its setting.
const flagTag = "flag"

// FlagSet collects the settings of a program. Values are valid after Validate has
// returned nil.
type FlagSet struct {
	flags   []cli.Flag
	parsers []func(*finding.List)
	groups  []any
	checks  []func(*finding.List)
	invalid map[string]bool
}

// Group is a struct whose fields are settings. Fields carry `flag:"name"` and
// may carry `validate:"…"` tags.
type Group interface {
	Register(s *FlagSet)
}

// NewFlagSet returns a set with the settings of the given groups.
func NewFlagSet(groups ...Group) *FlagSet {
	s := &FlagSet{invalid: map[string]bool{}}
	for _, g := range groups {
		g.Register(s)
		s.groups = append(s.groups, g)
	}
	return s
}

// Flags returns the flags for a cli.Command.
func (s *FlagSet) Flags() []cli.Flag { return s.flags }

// Check adds a validation that concerns several settings.
func (s *FlagSet) Check(check func(*finding.List)) { s.checks = append(s.checks, check) }

// EnvName returns the environment variable of a setting.
func EnvName(name string) string {
	return "BRAMLEY_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Location returns the place of a finding about a setting.
func Location(name string) finding.Location {
	return finding.Location{Object: "setting --" + name, Field: EnvName(name)}
}

// Add defines a setting. The text is parsed in Validate rather than by the
// flag library, which would stop at the first invalid value.
func Add[T any](s *FlagSet, target *T, name, preset, usage string, parse func(string) (T, error)) {
	text := new(string)
	s.flags = append(s.flags, &cli.StringFlag{
		Name: name, Value: preset, Usage: usage, Destination: text, Sources: cli.EnvVars(EnvName(name)),
	})
	s.parsers = append(s.parsers, func(l *finding.List) {
		value, err := parse(*text)
		if err != nil {
			s.invalid[name] = true
			l.Errorf(Location(name), "%q: %v", *text, err)
			return
		}
		*target = value
	})
}

// String defines a text setting.
func String[T ~string](s *FlagSet, target *T, name, preset, usage string) {
	Add(s, target, name, preset, usage, func(text string) (T, error) { return T(text), nil })
}

// Strings defines a setting that is a comma-separated list.
func Strings(s *FlagSet, target *[]string, name, preset, usage string) {
	Add(s, target, name, preset, usage, func(text string) ([]string, error) {
		if text == "" {
			return nil, nil
		}
		return strings.Split(text, ","), nil
	})
}

// Duration defines a duration setting such as 1.5s.
func Duration(s *FlagSet, target *time.Duration, name, preset, usage string) {
	Add(s, target, name, preset, usage, time.ParseDuration)
}

// Int defines an integer setting.
func Int(s *FlagSet, target *int, name, preset, usage string) {
	Add(s, target, name, preset, usage, func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return 0, errors.New("not an integer")
		}
		return value, nil
	})
}

// Bool defines a setting that is true or false.
func Bool(s *FlagSet, target *bool, name, preset, usage string) {
	Add(s, target, name, preset, usage, func(text string) (bool, error) {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return false, errors.New("neither true nor false")
		}
		return value, nil
	})
}

// Text defines a setting of a type that reads itself from text. An empty text
// leaves the zero value; use a validate tag to require one.
func Text[T any, P interface {
	*T
	encoding.TextUnmarshaler
}](s *FlagSet, target *T, name, preset, usage string) {
	Add(s, target, name, preset, usage, func(text string) (T, error) {
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
	list := finding.List{}
	for _, parse := range s.parsers {
		parse(&list)
	}
	for _, group := range s.groups {
		s.validateGroup(group, &list)
	}
	for _, check := range s.checks {
		check(&list)
	}
	return list.Err()
}

func (s *FlagSet) validateGroup(group any, list *finding.List) {
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
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get(flagTag) })
	var failures validator.ValidationErrors
	err := v.Struct(group)
	if err == nil || !errors.As(err, &failures) {
		return
	}
	var reported []string
	for _, f := range failures {
		// The name of a list element ends in its index.
		name, _, _ := strings.Cut(f.Field(), "[")
		if s.invalid[name] || slices.Contains(reported, name) {
			continue
		}
		reported = append(reported, name)
		list.Errorf(Location(name), "%s", reason(f))
	}
}

func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "hostname_port", "listen":
		return fmt.Sprintf("%q: want host:port", f.Value())
	}
	return strings.TrimSpace(fmt.Sprintf("%v: must satisfy %s %s", f.Value(), f.Tag(), f.Param()))
}
