// Command bramley-dev runs all roles of a fleet in one process.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/slopes"
)

func main() {
	root := &cli.Command{
		Name:     "bramley-dev",
		Usage:    "run and measure all roles of a fleet on one machine",
		Commands: []*cli.Command{slopes.Command()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
