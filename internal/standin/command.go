package standin

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Command returns the command that runs one stand-in server until it is
// interrupted. It is for manual tests of separately started programs.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run one stand-in HTTP server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Required: true, Usage: "name that the server returns in its responses"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address of the server: IP:port"},
			&cli.IntFlag{Name: "slots", Value: 7, Usage: "slots that the health endpoint reports"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			u, err := NewUpstream(vm.ID(c.String("vm")), c.String("listen"), c.Int("slots"))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%s listens on %s\n", u.id, u.listener.Addr())
			return u.Run(ctx)
		},
	}
}
