// Command bramley-dev runs all roles of a fleet in one process and measures the
// performance of the decision code.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/fleet"
	"bramleyhold.example/bramleyhold/internal/measure"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/slopes"
	"bramleyhold.example/bramleyhold/internal/soak"
	"bramleyhold.example/bramleyhold/internal/standin"
)

func main() {
	ctx, stop := settings.SignalContext(context.Background())
	root := &cli.Command{
		Name:     "bramley-dev",
		Usage:    "run and measure all roles of a fleet on one machine",
		Commands: []*cli.Command{fleet.Command(), measure.Command(), slopes.Command(), standin.Command(), soak.Command()},
	}
	err := root.Run(ctx, os.Args)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitSettings)
	}
}
