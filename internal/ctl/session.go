package ctl

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/keys"
)

const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = 10 * time.Minute
)

// session is one call of a command that talks to the control VMs.
type session struct {
	client   *client
	out      *printer
	operator string
	config   *tls.Config
	control  []netip.AddrPort
	timeout  time.Duration
}

// connectionFlags are shared by all commands that talk to the control VMs.
func connectionFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("control", "", "control addresses as ADDRESS:PORT, separated by commas"),
		textFlag("keys", "", "folder with the certificate of the operator; without it connections are plain TCP, on loopback only"),
		textFlag("timeout", "20s", "time for the whole command with its retries"),
		&cli.StringFlag{
			Name: "operator", Usage: "name of the operator in the history",
			Sources: cli.EnvVars(envName("operator"), "USER"),
		},
		switchFlag("json", "write JSON"),
	}
}

// newSession reads the connection flags; findings stay in the input.
func (a *app) newSession(in *input) *session {
	s := &session{
		out:      a.printer(in.toggle("json")),
		operator: in.text("operator"),
		control:  in.endpoints("control"),
		timeout:  in.duration("timeout", minTimeout, maxTimeout),
	}
	s.config = in.tls(s.control)
	s.client = newClient(s.control, s.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.client.pause = a.pause
	return s
}

// tls loads the operator's certificate. Plain TCP would let anybody on the
// network change the intent, so it is allowed on loopback only.
func (in *input) tls(control []netip.AddrPort) *tls.Config {
	dir := in.text("keys")
	if dir == "" {
		for _, address := range control {
			if !address.Addr().IsLoopback() {
				in.fail("keys", "is required for %s, which is not a loopback address", address)
			}
		}
		return nil
	}
	_, config, err := keys.LoadTLS(dir)
	if err != nil {
		in.fail("keys", "%v", err)
	}
	return config
}

// online wraps a command that talks to the control VMs. prepare reads the
// flags and arguments of the command and returns what to do; it is called
// before any connection is made, so that all invalid settings are reported
// together.
func (a *app) online(prepare func(in *input) func(context.Context, *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		in := &input{cmd: cmd}
		s := a.newSession(in)
		act := prepare(in)
		if err := in.err(); err != nil {
			return err
		}
		defer s.client.close()
		return act(ctx, s)
	}
}

// withTimeout bounds a command that is expected to end.
func (s *session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// offline wraps a command that needs no control VM.
func (a *app) offline(prepare func(in *input) func(*printer) error) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		in := &input{cmd: cmd}
		out := a.printer(in.toggle("json"))
		act := prepare(in)
		if err := in.err(); err != nil {
			return err
		}
		return act(out)
	}
}

// unknownCommand rejects a missing or misspelled command.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	var l finding.List
	if name := cmd.Args().First(); name != "" {
		l.Errorf(finding.Location{Object: "command " + name}, "is not known; see %s --help", cmd.FullName())
	} else {
		l.Errorf(finding.Location{Object: "command"}, "is missing; see %s --help", cmd.FullName())
	}
	return &UsageError{List: l}
}
