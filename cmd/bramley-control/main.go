// Command bramley-control runs one control replica.
package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/settings"
)

func main() {
	ctx, stop := settings.SignalContext(context.Background())
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run is main with its inputs and outputs as parameters. It returns the exit
// code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	process, controlOpts := &settings.Process{}, &controlSettings{}
	flags := settings.NewFlagSet(process, controlOpts)
	checkCombinations(flags, process, controlOpts)
	command := &cli.Command{Name: program, Usage: "runs one replica of the control role", Writer: stdout}
	return settings.Run(ctx, args, stderr, command, flags, func(ctx context.Context) error {
		return runControl(ctx, stderr, process, controlOpts)
	})
}
