package ctl

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
)

// Flags are declared as strings and parsed here. The flag library stops at the
// first value that it cannot parse, but every invalid value must be reported.

// envName returns the name of the environment variable of a flag.
func envName(flag string) string {
	return "BRAMLEY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(name, defaultValue, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: defaultValue, Usage: usage, Sources: cli.EnvVars(envName(name))}
}

// boolFlag declares a flag that invocationInput.boolValue reads. boolValue also
// reads the environment.
func boolFlag(name, usage string) *cli.BoolFlag {
	return &cli.BoolFlag{Name: name, Usage: usage + " [$" + envName(name) + "]"}
}

// invocationInput reads the flags and arguments of one invocation and collects
// a finding for each invalid one.
type invocationInput struct {
	cmd      *cli.Command
	findings finding.List
}

// addError adds an error finding about a flag. It names the environment variable if
// the flag can be set by one.
func (in *invocationInput) addError(name, format string, args ...any) {
	location := finding.Location{Object: "setting --" + name}
	if in.flagReadsEnvironment(name) {
		location.Field = envName(name)
	}
	in.findings.Errorf(location, format, args...)
}

func (in *invocationInput) flagReadsEnvironment(name string) bool {
	for _, cmd := range in.cmd.Lineage() {
		for _, f := range cmd.Flags {
			documented, ok := f.(cli.DocGenerationFlag)
			if ok && f.Names()[0] == name {
				return slices.Contains(documented.GetEnvVars(), envName(name))
			}
		}
	}
	return false
}

func (in *invocationInput) err() error {
	if in.findings.HasErrors() {
		return &UsageError{Findings: in.findings}
	}
	return nil
}

// positionalArgs returns one value for each named positional argument. A missing
// or an extra argument is a finding.
func (in *invocationInput) positionalArgs(names ...string) []string {
	given := in.cmd.Args().Slice()
	values := make([]string, len(names))
	for i, name := range names {
		if i >= len(given) || given[i] == "" {
			in.findings.Errorf(finding.Location{Object: "argument " + name}, "is missing")
			continue
		}
		values[i] = given[i]
	}
	for _, extra := range given[min(len(names), len(given)):] {
		in.findings.Errorf(finding.Location{Object: "arguments"}, "unexpected argument %q", extra)
	}
	return values
}

func (in *invocationInput) stringValue(name string) string { return in.cmd.String(name) }

func (in *invocationInput) requiredString(name string) string {
	value := in.cmd.String(name)
	if value == "" {
		in.addError(name, "is required")
	}
	return value
}

// boolValue prefers the flag to the environment.
func (in *invocationInput) boolValue(name string) bool {
	if in.cmd.IsSet(name) {
		return in.cmd.Bool(name)
	}
	value, ok := os.LookupEnv(envName(name))
	if !ok || value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		location := finding.Location{Object: "setting --" + name, Field: envName(name)}
		in.findings.Errorf(location, "%q is neither true nor false", value)
	}
	return on
}

func (in *invocationInput) durationValue(name string, low, high time.Duration) time.Duration {
	value, err := time.ParseDuration(in.cmd.String(name))
	if err != nil || value < low || value > high {
		in.addError(name, "%q: want a duration from %s to %s", in.cmd.String(name), low, high)
	}
	return value
}

func (in *invocationInput) uintValue(name string, low, high uint64) uint64 {
	value, err := strconv.ParseUint(in.cmd.String(name), 10, 64)
	if err != nil || value < low || value > high {
		in.addError(name, "%q: want a number from %d to %d", in.cmd.String(name), low, high)
	}
	return value
}

func (in *invocationInput) floatValue(name string, low, high float64) float64 {
	value, err := strconv.ParseFloat(in.cmd.String(name), 64)
	if err != nil || !(value >= low && value <= high) {
		in.addError(name, "%q: want a number from %g to %g", in.cmd.String(name), low, high)
	}
	return value
}

func (in *invocationInput) choiceValue(name string, allowed ...string) string {
	value := in.cmd.String(name)
	if !slices.Contains(allowed, value) {
		in.addError(name, "%q: want %s", value, strings.Join(allowed, " or "))
	}
	return value
}

// endpointList reads a comma-separated list of ADDRESS:PORT values. Repeated
// values are dropped.
func (in *invocationInput) endpointList(name string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, text := range splitCommaList(in.requiredString(name)) {
		value, err := parseEndpoint(text)
		if err != nil {
			in.addError(name, "%v", err)
			continue
		}
		if !slices.Contains(list, value) {
			list = append(list, value)
		}
	}
	return list
}

func parseEndpoint(text string) (netip.AddrPort, error) {
	value, err := netip.ParseAddrPort(text)
	if err != nil || value.Port() == 0 {
		return value, fmt.Errorf("%q: want ADDRESS:PORT with an IP address", text)
	}
	return value, nil
}

func splitCommaList(text string) []string {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
