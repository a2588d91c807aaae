package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
)

// app runs one invocation of bramleyctl.
type app struct {
	stdout io.Writer
	// sleep waits for the backoff before a retry. It returns early when the
	// context is done.
	sleep func(context.Context, time.Duration)
}

func (a *app) newPrinter(asJSON bool) *printer { return &printer{w: a.stdout, json: asJSON} }

// Run runs one command and returns its exit code. An error is written to
// stderr, as text or, with --json, as one JSON document.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	invocation := &app{stdout: stdout, sleep: sleepContext}
	return invocation.run(ctx, args, stderr)
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (a *app) run(ctx context.Context, args []string, stderr io.Writer) int {
	root := a.commands()
	root.Writer, root.ErrWriter = a.stdout, stderr
	installUsageErrorHandlers(root)
	err := root.Run(ctx, args)
	in := &invocationInput{cmd: root}
	return reportError(stderr, in.boolValue("json"), err)
}

func (a *app) commands() *cli.Command {
	return &cli.Command{
		Name: "bramleyctl", Usage: "import inventories, set rules and show the state of the cluster",
		Flags: connectionFlags(), Action: unknownCommand,
		Commands: []*cli.Command{
			a.inventoryCommands(),
			a.serviceCommands(),
			a.vmCommands(),
			a.zoneCommands(),
			a.statusCommand(),
			a.historyCommand(),
			a.explainCommands(),
			a.watchCommand(),
			a.keysCommands(),
		},
	}
}

// installUsageErrorHandlers makes each command return parse errors of the
// command line as UsageError. The flag library calls only the handler of the
// innermost command, so every subcommand needs one.
func installUsageErrorHandlers(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		var findings finding.List
		findings.Errorf(finding.Location{Object: "arguments"}, "%v", err)
		return &UsageError{Findings: findings}
	}
	for _, sub := range cmd.Commands {
		installUsageErrorHandlers(sub)
	}
}
