package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/tun"
)

// startTimeout bounds the time until the fleet is started, configured and ready.
const startTimeout = 30 * time.Second

// Command returns the command that runs a fleet until it is interrupted.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "run control, balancers, agents and stand-in servers on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data-folder", Usage: "folder of all files; a temporary folder if unset", Sources: cli.EnvVars("BRAMLEY_DATA_FOLDER")},
			&cli.IntFlag{Name: "control", Value: 1, Usage: "control replicas: 1, 3, 5 or 7", Sources: cli.EnvVars("BRAMLEY_DEV_CONTROL")},
			&cli.IntFlag{Name: "balancers", Value: 3, Usage: "balancers, 1 to 16", Sources: cli.EnvVars("BRAMLEY_DEV_BALANCERS")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runFleet(ctx, c, c.Root().Writer)
		},
	}
}

func runFleet(ctx context.Context, c *cli.Command, out io.Writer) error {
	folder := c.String("data-folder")
	if folder == "" {
		temporaryFolder, err := os.MkdirTemp("", "bramley-dev-*")
		if err != nil {
			return fmt.Errorf("data folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporaryFolder) }()
		folder = temporaryFolder
	}
	plan := DefaultPlan(folder)
	plan.Control, plan.Balancers = c.Int("control"), c.Int("balancers")
	if err := plan.Validate(); err != nil {
		return err
	}
	log, err := openLog(folder)
	if err != nil {
		return err
	}
	tracer, closeTracer, err := openTracer(folder)
	if err != nil {
		return err
	}
	defer closeTracer()
	f := New(plan, log, tracer)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.startAndConfigure(startCtx); err != nil {
		return explainMissingTUN(err, out)
	}
	f.printInstructions(out, folder)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping")
	return f.Stop()
}

// startAndConfigure starts the fleet, imports its inventory and waits until it is
// ready. On an error it stops the fleet.
func (f *Fleet) startAndConfigure(ctx context.Context) error {
	if err := f.Start(ctx); err != nil {
		return err
	}
	err := f.Configure(ctx)
	if err == nil {
		err = f.WaitReady(ctx)
	}
	if err != nil {
		return errors.Join(err, f.Stop())
	}
	return nil
}

// explainMissingTUN prints what does not work without TUN devices. It returns err.
func explainMissingTUN(err error, out io.Writer) error {
	var tunError *tun.UnavailableError
	if !errors.As(err, &tunError) {
		return err
	}
	_, _ = fmt.Fprintln(out, "TUN devices are not available, so ordinary clients cannot reach a virtual address.")
	_, _ = fmt.Fprintln(out, "Required: the device /dev/net/tun and the capability CAP_NET_ADMIN (run as root).")
	_, _ = fmt.Fprintln(out, "These still work without them: make test, and 'go run ./cmd/bramley-dev measure --all'.")
	return err
}

// printInstructions prints commands to try on the running fleet.
func (f *Fleet) printInstructions(out io.Writer, folder string) {
	_, _ = fmt.Fprintf(out, "The fleet is up: %d control, %d balancers, %d services.\n\n", f.Plan.Control, f.Plan.Balancers, len(f.Plan.Services))
	_, _ = fmt.Fprintln(out, "Send a request through a virtual address:")
	for _, s := range f.Plan.Services {
		_, _ = fmt.Fprintf(out, "  curl http://%s/\n", f.VirtualAddress(s.Name))
	}
	controlAddress := f.ControlAddresses()[0]
	_, _ = fmt.Fprintln(out, "\nQuery and change the fleet:")
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s status\n", controlAddress)
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s vm leave %s\n", controlAddress, upstreamName(f.Plan.Services[0].Name, 0))
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s history\n", controlAddress)
	_, _ = fmt.Fprintf(out, "\nLogs: %s\nTraces: %s\nStop with Ctrl-C.\n", filepath.Join(folder, logFileName), filepath.Join(folder, traceFileName))
}

const (
	logFileName   = "bramley-dev.log"
	traceFileName = "traces.json"
)

func openLog(folder string) (*logrus.Entry, error) {
	file, err := os.OpenFile(filepath.Join(folder, logFileName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	return telemetry.NewLogger(file, "bramley-dev", "dev", "info")
}

// openTracer returns a tracer that writes to a file in the folder, and a function
// that flushes and closes it.
func openTracer(folder string) (*telemetry.Tracer, func(), error) {
	file, err := os.OpenFile(filepath.Join(folder, traceFileName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("trace exporter: %w", err), file.Close())
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return telemetry.NewTracer(provider), func() {
		_ = provider.Shutdown(context.Background())
		_ = file.Close()
	}, nil
}
