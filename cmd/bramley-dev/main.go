// Command bramley-dev runs all roles of a fleet in one process and measures
// the decision code.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/measure"
)

func main() {
	root := &cli.Command{
		Name:     "bramley-dev",
		Usage:    "development tools of bramleyhold",
		Commands: []*cli.Command{measure.Command()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
