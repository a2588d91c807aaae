package slopes

import (
	"context"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// part is one group of measurements.
type part struct {
	name string
	run  func(p *printer) error
}

func parts() []part {
	return []part{
		{"node", measureNode},
		{"view", measureView},
		{"ranking", measureRanking},
		{"frame", measureFrames},
		{"intent", measureIntent},
		{"fanout-node", measureFanoutNode},
		{"fanout", measureFanout},
		{"membership", measureMembership},
	}
}

func partNames() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

// Command returns the command that measures the given parts, or all of them.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "measure how state, messages and processor time grow with the fleet",
		ArgsUsage: "[" + strings.Join(partNames(), "|") + "]...",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers", Sources: cli.EnvVars("BRAMLEY_SEED")},
			&cli.BoolFlag{Name: "json", Usage: "one JSON object per figure", Sources: cli.EnvVars("BRAMLEY_JSON")},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	chosen := c.Args().Slice()
	for _, name := range chosen {
		if !slices.Contains(partNames(), name) {
			return &UnknownPartError{Name: name}
		}
	}
	out := c.Root().Writer
	if out == nil {
		out = os.Stdout
	}
	p := newPrinter(out, c.Uint64("seed"), c.Bool("json"))
	for _, part := range parts() {
		if len(chosen) > 0 && !slices.Contains(chosen, part.name) {
			continue
		}
		if err := part.run(p); err != nil {
			return err
		}
	}
	return p.flush()
}

// UnknownPartError reports a part that does not exist.
type UnknownPartError struct {
	Name string
}

func (e *UnknownPartError) Error() string {
	return "unknown part " + e.Name + "; parts are " + strings.Join(partNames(), ", ")
}
