// Command bramleyctl is the command-line tool of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bramleyhold.example/bramleyhold/internal/ctl"
)

func main() { os.Exit(runCommand()) }

func runCommand() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args, os.Stdout, os.Stderr)
}
