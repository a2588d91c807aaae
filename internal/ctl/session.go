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

// session holds the connections and settings of one command that calls the
// control VMs.
type session struct {
	client           *client
	out              *printer
	operator         string
	tlsConfig        *tls.Config
	controlAddresses []netip.AddrPort
	timeout          time.Duration
}

// connectionFlags are shared by all commands that call the control VMs.
func connectionFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("control", "", "control addresses as ADDRESS:PORT, separated by commas"),
		stringFlag("keys", "", "folder with the certificate of the operator; if unset, connections use plain TCP, on loopback only"),
		stringFlag("timeout", "20s", "time limit for the whole command, including its retries"),
		&cli.StringFlag{
			Name: "operator", Usage: "name of the operator that the history shows",
			Sources: cli.EnvVars(envName("operator"), "USER"),
		},
		boolFlag("json", "write JSON"),
	}
}

// newSession reads the connection flags. Findings are added to in.
func (a *app) newSession(in *invocationInput) *session {
	s := &session{
		out:              a.newPrinter(in.boolValue("json")),
		operator:         in.stringValue("operator"),
		controlAddresses: in.endpointList("control"),
		timeout:          in.durationValue("timeout", minTimeout, maxTimeout),
	}
	s.tlsConfig = in.loadTLS(s.controlAddresses)
	s.client = newClient(s.controlAddresses, s.tlsConfig, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.client.sleep = a.sleep
	return s
}

// loadTLS loads the operator's certificate. Plain TCP is allowed only on
// loopback, because elsewhere anyone on the network could change the intent.
func (in *invocationInput) loadTLS(controlAddresses []netip.AddrPort) *tls.Config {
	dir := in.stringValue("keys")
	if dir == "" {
		for _, address := range controlAddresses {
			if !address.Addr().IsLoopback() {
				in.addError("keys", "is required for %s, which is not a loopback address", address)
			}
		}
		return nil
	}
	_, tlsConfig, err := keys.LoadTLS(dir)
	if err != nil {
		in.addError("keys", "%v", err)
	}
	return tlsConfig
}

// controlAction wraps a command that calls the control VMs. parse reads the
// flags and arguments of the command and returns the function that executes it.
// parse runs before any connection is made, so that all invalid settings are
// reported together.
func (a *app) controlAction(parse func(in *invocationInput) func(context.Context, *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		in := &invocationInput{cmd: cmd}
		s := a.newSession(in)
		execute := parse(in)
		if err := in.err(); err != nil {
			return err
		}
		defer s.client.close()
		return execute(ctx, s)
	}
}

// withTimeout returns a context with the deadline of the command. watch does not
// use it for its subscription, which lasts until it is interrupted.
func (s *session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// localAction wraps a command that needs no control VM.
func (a *app) localAction(parse func(in *invocationInput) func(*printer) error) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		in := &invocationInput{cmd: cmd}
		out := a.newPrinter(in.boolValue("json"))
		execute := parse(in)
		if err := in.err(); err != nil {
			return err
		}
		return execute(out)
	}
}

// unknownCommand rejects a missing or misspelled command.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	var findings finding.List
	if name := cmd.Args().First(); name != "" {
		findings.Errorf(finding.Location{Object: "command " + name}, "unknown command; see %s --help", cmd.FullName())
	} else {
		findings.Errorf(finding.Location{Object: "command"}, "is missing; see %s --help", cmd.FullName())
	}
	return &UsageError{Findings: findings}
}
