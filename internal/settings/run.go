package settings

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
)

// The exit codes of all programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Run parses the arguments, validates the settings, runs the action and returns the
// exit code. Errors are written to stderr.
func Run(ctx context.Context, args []string, stderr io.Writer, cmd *cli.Command, set *FlagSet, action func(context.Context) error) int {
	cmd.Flags = append(cmd.Flags, set.Flags()...)
	cmd.ErrWriter = stderr
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		findings := finding.List{}
		findings.Errorf(finding.Location{Object: "arguments"}, "%v", err)
		return findings.Err()
	}
	cmd.Action = func(ctx context.Context, c *cli.Command) error {
		set.Check(func(l *finding.List) {
			for _, arg := range c.Args().Slice() {
				l.Errorf(finding.Location{Object: "arguments"}, "unexpected argument %q", arg)
			}
		})
		if err := set.Validate(); err != nil {
			return err
		}
		return action(ctx)
	}
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	var settingsErr *finding.ListError
	if errors.As(err, &settingsErr) {
		return ExitSettings
	}
	return ExitFailure
}
