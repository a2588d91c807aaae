package nodecmd

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/keys"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// eventCapacity bounds the events that a node keeps.
const eventCapacity = 4096

// Secrets are the keys of a node.
type Secrets struct {
	Server *tls.Config
	Client *tls.Config
	Frames *frame.Keys
	Hasher flow.Hasher
}

// LoadSecrets reads the keys folder.
func LoadSecrets(folder string) (*Secrets, error) {
	server, client, err := keys.LoadTLS(folder)
	if err != nil {
		return nil, err
	}
	frames, err := keys.LoadFrameKeys(folder)
	if err != nil {
		return nil, err
	}
	hasher, err := keys.LoadFlowHasher(folder)
	if err != nil {
		return nil, err
	}
	return &Secrets{Server: server, Client: client, Frames: frames, Hasher: hasher}, nil
}

// RandomSeed returns a seed for the random sources of decisions.
func RandomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("random seed: %w", err)
	}
	return binary.BigEndian.Uint64(seed[:]), nil
}

// nodeConfig joins settings and parts to the configuration of a node.
func nodeConfig(p *settings.Process, n *NodeSettings, secrets *Secrets, log *logrus.Entry, registry metrics.Registry, tracer *Traces) (node.Config, error) {
	seed, err := RandomSeed()
	if err != nil {
		return node.Config{}, err
	}
	return node.Config{
		VM: p.VM, Zone: p.Zone, Address: n.Address, Control: n.Control, Seeds: n.Seeds,
		TLS: secrets.Client, ServerTLS: secrets.Server, Keys: secrets.Frames, Hasher: secrets.Hasher, TunnelMTU: n.TunnelMTU,
		DataFolder: p.DataFolder, Seed: seed,
		Incarnation: vm.Incarnation(time.Now().UnixMilli()),
		Log:         log, Metrics: registry, Events: event.NewBuffer(string(p.VM), eventCapacity),
		Tracer: tracer.Tracer, TraceEvery: n.TraceEvery,
	}, nil
}

// provide adds the parts that balancers and agents share to a container.
func provide(container *dig.Container, out io.Writer, program string, role rpc.Role, p *settings.Process, n *NodeSettings) error {
	return errors.Join(
		container.Provide(func() (*logrus.Entry, error) { return telemetry.NewLogger(out, program, p.VM, p.LogLevel) }),
		container.Provide(metrics.NewRegistry),
		container.Provide(func() (*Secrets, error) { return LoadSecretsOf(n.Keys, p.VM, role) }),
		container.Provide(func() (*Traces, error) { return OpenTraces(n) }),
		container.Provide(func(secrets *Secrets, log *logrus.Entry, registry metrics.Registry, traces *Traces) (node.Config, error) {
			return nodeConfig(p, n, secrets, log, registry, traces)
		}),
	)
}

// run opens the addresses of a program and serves until the context ends.
func run(ctx context.Context, container *dig.Container, p *settings.Process) error {
	err := container.Invoke(func(log *logrus.Entry, runner Runner, registry metrics.Registry, traces *Traces, secrets *Secrets) error {
		ReportCertificate(log, registry, secrets.Server, time.Now())
		http, err := telemetry.Listen(p.HTTPAddress, telemetry.Handler(registry, runner.Health))
		if err != nil {
			return err
		}
		return errors.Join(serve(ctx, log, runner, http), traces.Close(context.WithoutCancel(ctx)))
	})
	return dig.RootCause(err)
}

// Traces writes finished spans to a file.
type Traces struct {
	Tracer   *telemetry.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// OpenTraces opens the trace file. Without one there is no tracer.
func OpenTraces(n *NodeSettings) (*Traces, error) {
	if n.TraceFile == "" {
		return &Traces{}, nil
	}
	file, err := os.OpenFile(n.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("trace exporter: %w", err), file.Close())
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Traces{Tracer: telemetry.NewTracer(provider), provider: provider, file: file}, nil
}

// Close writes the spans that are left.
func (t *Traces) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return errors.Join(t.provider.Shutdown(ctx), t.file.Close())
}

// Runner is a balancer or an agent.
type Runner interface {
	Run(ctx context.Context) error
	Drain(ctx context.Context) error
	WaitingFor() string
	Health() telemetry.Health
}

// waitingInterval is how often a stopping program says what it waits for.
const waitingInterval = 5 * time.Second

// firstWaiting leaves the time in which a node without work stops.
const firstWaiting = 200 * time.Millisecond

// serve runs a node with its address for health and metrics until
// the context ends, then drains it. A second signal ends the program at once.
func serve(ctx context.Context, log *logrus.Entry, runner Runner, http *telemetry.Server) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { defer cancel(); return runner.Run(running) })
	group.Go(func() error { return http.Serve(running) })
	log.WithField("http_address", http.Address().String()).Info("started")
	group.Go(func() error {
		defer cancel()
		select {
		case <-running.Done():
			return nil
		case <-ctx.Done():
		}
		return drain(running, log, runner)
	})
	err := group.Wait()
	log.Info("stopped")
	return err
}

func drain(ctx context.Context, log *logrus.Entry, runner Runner) error {
	done := make(chan error, 1)
	go func() { done <- runner.Drain(ctx) }()
	log.Info("stopping")
	for pause := firstWaiting; ; pause = waitingInterval {
		select {
		case err := <-done:
			return err
		case <-time.After(pause):
		}
		log.WithField("waiting_for", runner.WaitingFor()).Info("stopping")
	}
}
