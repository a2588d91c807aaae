package nodecmd

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/urfave/cli/v3"
	"go.uber.org/dig"

	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/settings"
)

// Program describes the program of a node.
type Program struct {
	Name  string
	Usage string
	// Role is what the certificate of the VM must allow.
	Role rpc.Role
	// Settings holds the settings that only this program has.
	Settings settings.Group
	// Provide adds the constructors of this program: a node.Device and a
	// Runner.
	Provide func(container *dig.Container, common *NodeSettings) error
}

// Main runs a program until SIGTERM or an interrupt and ends the process.
func Main(p Program) {
	ctx, stop := settings.SignalContext(context.Background())
	code := p.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Run is Main with its inputs and outputs as parameters. It returns the exit
// code.
func (p Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	process, common := &settings.Process{}, &NodeSettings{}
	set := settings.NewFlagSet(process, common, p.Settings)
	command := &cli.Command{Name: p.Name, Usage: p.Usage, Writer: stdout}
	return settings.Run(ctx, args, stderr, command, set, func(ctx context.Context) error {
		container := dig.New()
		err := errors.Join(provide(container, stderr, p.Name, p.Role, process, common), p.Provide(container, common))
		if err != nil {
			return err
		}
		return run(ctx, container, process)
	})
}
