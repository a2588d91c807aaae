package slopes

import (
	"context"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// measurement is a named group of figures that are measured together.
type measurement struct {
	name string
	run  func(w *rowWriter) error
}

func measurements() []measurement {
	return []measurement{
		{"node", measureMembershipNode},
		{"view", measureView},
		{"ranking", measureRanking},
		{"frame", measureFrames},
		{"intent", measureIntent},
		{"fanout-node", measureFanoutNode},
		{"fanout", measureFanout},
		{"membership", measureMembership},
	}
}

func measurementNames() []string {
	var names []string
	for _, m := range measurements() {
		names = append(names, m.name)
	}
	return names
}

// Command returns the command that runs the selected measurements. If none is
// selected, it runs all of them.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "measure how state, messages and processor time grow with the fleet",
		ArgsUsage: "[" + strings.Join(measurementNames(), "|") + "]...",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers", Sources: cli.EnvVars("BRAMLEY_SEED")},
			&cli.BoolFlag{Name: "json", Usage: "one JSON object per figure", Sources: cli.EnvVars("BRAMLEY_JSON")},
		},
		Action: runCommand,
	}
}

func runCommand(_ context.Context, c *cli.Command) error {
	selected := c.Args().Slice()
	for _, name := range selected {
		if !slices.Contains(measurementNames(), name) {
			return &UnknownMeasurementError{Name: name}
		}
	}
	out := c.Root().Writer
	if out == nil {
		out = os.Stdout
	}
	w := newRowWriter(out, c.Uint64("seed"), c.Bool("json"))
	for _, m := range measurements() {
		if len(selected) > 0 && !slices.Contains(selected, m.name) {
			continue
		}
		if err := m.run(w); err != nil {
			return err
		}
	}
	return w.flush()
}

// UnknownMeasurementError reports the name of a measurement that does not exist.
type UnknownMeasurementError struct {
	Name string
}

func (e *UnknownMeasurementError) Error() string {
	return "unknown measurement " + e.Name + "; measurements are " + strings.Join(measurementNames(), ", ")
}
