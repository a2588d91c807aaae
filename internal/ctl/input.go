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

// Flags carry text and are parsed here, because the flag library stops at the
// first value that it cannot parse and every invalid one is to be reported.

// envName returns the environment variable of a flag.
func envName(flag string) string {
	return "BRAMLEY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func textFlag(name, preset, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: preset, Usage: usage, Sources: cli.EnvVars(envName(name))}
}

// switchFlag is read by input.toggle, which also reads the environment.
func switchFlag(name, usage string) *cli.BoolFlag {
	return &cli.BoolFlag{Name: name, Usage: usage + " [$" + envName(name) + "]"}
}

// input reads flags and arguments of one call and collects all findings.
type input struct {
	cmd      *cli.Command
	findings finding.List
}

func (in *input) fail(name, format string, args ...any) {
	place := finding.Location{Object: "setting --" + name}
	if in.readsEnvironment(name) {
		place.Field = envName(name)
	}
	in.findings.Errorf(place, format, args...)
}

func (in *input) readsEnvironment(name string) bool {
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

func (in *input) err() error {
	if in.findings.HasErrors() {
		return &UsageError{List: in.findings}
	}
	return nil
}

// args returns exactly the named positional arguments.
func (in *input) args(names ...string) []string {
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

func (in *input) text(name string) string { return in.cmd.String(name) }

func (in *input) required(name string) string {
	value := in.cmd.String(name)
	if value == "" {
		in.fail(name, "is required")
	}
	return value
}

func (in *input) toggle(name string) bool {
	if in.cmd.IsSet(name) {
		return in.cmd.Bool(name)
	}
	value, ok := os.LookupEnv(envName(name))
	if !ok || value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		place := finding.Location{Object: "setting --" + name, Field: envName(name)}
		in.findings.Errorf(place, "%q is neither true nor false", value)
	}
	return on
}

func (in *input) duration(name string, low, high time.Duration) time.Duration {
	value, err := time.ParseDuration(in.cmd.String(name))
	if err != nil || value < low || value > high {
		in.fail(name, "%q: want a duration from %s to %s", in.cmd.String(name), low, high)
	}
	return value
}

func (in *input) number(name string, low, high uint64) uint64 {
	value, err := strconv.ParseUint(in.cmd.String(name), 10, 64)
	if err != nil || value < low || value > high {
		in.fail(name, "%q: want a number from %d to %d", in.cmd.String(name), low, high)
	}
	return value
}

func (in *input) choice(name string, allowed ...string) string {
	value := in.cmd.String(name)
	if !slices.Contains(allowed, value) {
		in.fail(name, "%q: want %s", value, strings.Join(allowed, " or "))
	}
	return value
}

// endpoints reads a comma-separated list of address:port values.
func (in *input) endpoints(name string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, text := range splitList(in.required(name)) {
		value, err := parseEndpoint(text)
		if err != nil {
			in.fail(name, "%v", err)
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

func splitList(text string) []string {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
