package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
)

// app is one call of bramleyctl.
type app struct {
	stdout io.Writer
	// pause waits before a retry or until the context is done.
	pause func(context.Context, time.Duration)
}

func (a *app) printer(asJSON bool) *printer { return &printer{w: a.stdout, json: asJSON} }

// Run runs one command and returns the exit code. Errors are written to
// stderr, as text or as one JSON document.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, pause: pause}
	return a.run(ctx, args, stderr)
}

func pause(ctx context.Context, d time.Duration) {
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
	prepareUsageErrors(root)
	err := root.Run(ctx, args)
	in := &input{cmd: root}
	return report(stderr, in.toggle("json"), err)
}

func (a *app) commands() *cli.Command {
	return &cli.Command{
		Name: "bramleyctl", Usage: "import inventories, set rules and see what is in force",
		Flags: connectionFlags(), Action: unknownCommand,
		Commands: []*cli.Command{
			a.inventoryCommands(),
			a.serviceCommands(),
			a.vmCommands(),
			a.statusCommand(),
			a.historyCommand(),
			a.explainCommands(),
			a.watchCommand(),
			a.keysCommands(),
		},
	}
}

// prepareUsageErrors makes problems of the command line usage errors. The flag
// library calls the handler of the innermost command only.
func prepareUsageErrors(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		var l finding.List
		l.Errorf(finding.Location{Object: "arguments"}, "%v", err)
		return &UsageError{List: l}
	}
	for _, sub := range cmd.Commands {
		prepareUsageErrors(sub)
	}
}
