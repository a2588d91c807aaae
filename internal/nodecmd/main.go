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

// Program describes the program of a balancer or an agent.
type Program struct {
	Name  string
	Usage string
	// Role is the role that the certificate of the VM must have.
	Role rpc.Role
	// Settings holds the settings of this program only.
	Settings settings.Group
	// Provide adds this program's constructors of a node.Device and a Runner to the
	// container.
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
	process, nodeSettings := &settings.Process{}, &NodeSettings{}
	set := settings.NewFlagSet(process, nodeSettings, p.Settings)
	command := &cli.Command{Name: p.Name, Usage: p.Usage, Writer: stdout}
	return settings.Run(ctx, args, stderr, command, set, func(ctx context.Context) error {
		container := dig.New()
		err := errors.Join(provideSharedParts(container, stderr, p.Name, p.Role, process, nodeSettings), p.Provide(container, nodeSettings))
		if err != nil {
			return err
		}
		return runNode(ctx, container, process)
	})
}
