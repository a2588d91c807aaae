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

// startLimit bounds the time until the fleet answers.
const startLimit = 30 * time.Second

// Command returns the command that runs a fleet until it is interrupted.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "run control, balancers, agents and stand-in servers on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data-folder", Usage: "folder of all files; a temporary one if empty", Sources: cli.EnvVars("BRAMLEY_DATA_FOLDER")},
			&cli.IntFlag{Name: "control", Value: 1, Usage: "control replicas: 1, 3, 5 or 7", Sources: cli.EnvVars("BRAMLEY_DEV_CONTROL")},
			&cli.IntFlag{Name: "balancers", Value: 3, Usage: "balancers, 1 to 16", Sources: cli.EnvVars("BRAMLEY_DEV_BALANCERS")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return up(ctx, c, c.Root().Writer)
		},
	}
}

func up(ctx context.Context, c *cli.Command, out io.Writer) error {
	folder := c.String("data-folder")
	if folder == "" {
		temporary, err := os.MkdirTemp("", "bramley-dev-*")
		if err != nil {
			return fmt.Errorf("data folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
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
	tracer, closeTraces, err := openTraces(folder)
	if err != nil {
		return err
	}
	defer closeTraces()
	f := New(plan, log, tracer)
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.bringUp(starting); err != nil {
		return explainMissing(err, out)
	}
	f.describe(out, folder)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping")
	return f.Stop()
}

// bringUp starts the fleet, gives it its inventory and waits for it.
func (f *Fleet) bringUp(ctx context.Context) error {
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

// explainMissing says what cannot work without TUN devices.
func explainMissing(err error, out io.Writer) error {
	var missing *tun.UnavailableError
	if !errors.As(err, &missing) {
		return err
	}
	_, _ = fmt.Fprintln(out, "TUN devices cannot be used here, so ordinary clients cannot reach a virtual address.")
	_, _ = fmt.Fprintln(out, "Needed: the device /dev/net/tun and the capability CAP_NET_ADMIN (run as root).")
	_, _ = fmt.Fprintln(out, "Without them these still work: make test, and 'go run ./cmd/bramley-dev measure --all'.")
	return err
}

func (f *Fleet) describe(out io.Writer, folder string) {
	_, _ = fmt.Fprintf(out, "The fleet is up: %d control, %d balancers, %d services.\n\n", f.Plan.Control, f.Plan.Balancers, len(f.Plan.Services))
	_, _ = fmt.Fprintln(out, "Send a request through a virtual address:")
	for _, s := range f.Plan.Services {
		_, _ = fmt.Fprintf(out, "  curl http://%s/\n", f.VirtualAddress(s.Name))
	}
	control := f.Control()[0]
	_, _ = fmt.Fprintln(out, "\nAsk and change the fleet:")
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s status\n", control)
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s vm leave %s\n", control, upstreamName(f.Plan.Services[0].Name, 0))
	_, _ = fmt.Fprintf(out, "  go run ./cmd/bramleyctl --control %s history\n", control)
	_, _ = fmt.Fprintf(out, "\nLogs: %s\nTraces: %s\nStop with Ctrl-C.\n", filepath.Join(folder, logName), filepath.Join(folder, traceName))
}

const (
	logName   = "bramley-dev.log"
	traceName = "traces.json"
)

func openLog(folder string) (*logrus.Entry, error) {
	file, err := os.OpenFile(filepath.Join(folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	return telemetry.NewLogger(file, "bramley-dev", "dev", "info")
}

func openTraces(folder string) (*telemetry.Tracer, func(), error) {
	file, err := os.OpenFile(filepath.Join(folder, traceName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
