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

// eventBufferCapacity bounds the events that a node keeps for operators.
const eventBufferCapacity = 4096

// Secrets holds the TLS configurations and the keys of a node.
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

// newNodeConfig builds the configuration of a node from its settings and shared
// parts.
func newNodeConfig(process *settings.Process, nodeSettings *NodeSettings, secrets *Secrets, log *logrus.Entry, registry metrics.Registry, tracer *Traces) (node.Config, error) {
	seed, err := RandomSeed()
	if err != nil {
		return node.Config{}, err
	}
	return node.Config{
		VM: process.VM, Zone: process.Zone, Address: nodeSettings.Address, Control: nodeSettings.Control, Seeds: nodeSettings.Seeds,
		TLS: secrets.Client, ServerTLS: secrets.Server, Keys: secrets.Frames, Hasher: secrets.Hasher, TunnelMTU: nodeSettings.TunnelMTU,
		DataFolder: process.DataFolder, Seed: seed,
		Incarnation: vm.Incarnation(time.Now().UnixMilli()),
		Log:         log, Metrics: registry, Events: event.NewBuffer(string(process.VM), eventBufferCapacity),
		Tracer: tracer.Tracer, TraceEvery: nodeSettings.TraceEvery,
	}, nil
}

// provideSharedParts adds the constructors that balancers and agents share to the
// container.
func provideSharedParts(container *dig.Container, out io.Writer, program string, role rpc.Role, process *settings.Process, nodeSettings *NodeSettings) error {
	return errors.Join(
		container.Provide(func() (*logrus.Entry, error) { return telemetry.NewLogger(out, program, process.VM, process.LogLevel) }),
		container.Provide(metrics.NewRegistry),
		container.Provide(func() (*Secrets, error) { return LoadSecretsForProcess(nodeSettings.Keys, process.VM, role) }),
		container.Provide(func() (*Traces, error) { return OpenTraces(nodeSettings) }),
		container.Provide(func(secrets *Secrets, log *logrus.Entry, registry metrics.Registry, traces *Traces) (node.Config, error) {
			return newNodeConfig(process, nodeSettings, secrets, log, registry, traces)
		}),
	)
}

// runNode runs the node and its HTTP server for health and metrics until the context
// ends and the node is drained.
func runNode(ctx context.Context, container *dig.Container, process *settings.Process) error {
	err := container.Invoke(func(log *logrus.Entry, runner Runner, registry metrics.Registry, traces *Traces, secrets *Secrets) error {
		ReportCertificateExpiry(log, registry, secrets.Server, time.Now())
		http, err := telemetry.Listen(process.HTTPAddress, telemetry.Handler(registry, runner.Health))
		if err != nil {
			return err
		}
		return errors.Join(serveUntilDrained(ctx, log, runner, http), traces.Close(context.WithoutCancel(ctx)))
	})
	return dig.RootCause(err)
}

// Traces writes finished spans to a file.
type Traces struct {
	Tracer   *telemetry.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// OpenTraces opens the trace file. Without a trace file, the tracer is nil.
func OpenTraces(nodeSettings *NodeSettings) (*Traces, error) {
	if nodeSettings.TraceFile == "" {
		return &Traces{}, nil
	}
	file, err := os.OpenFile(nodeSettings.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// Close writes the remaining spans and closes the trace file.
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
	PendingOnStop() string
	Health() telemetry.Health
}

// drainLogInterval is how often a draining program logs what it waits for.
const drainLogInterval = 5 * time.Second

// firstDrainLogDelay is long enough for a node without work to stop, so that it logs
// nothing to wait for.
const firstDrainLogDelay = 200 * time.Millisecond

// serveUntilDrained runs a node and its HTTP server for health and metrics. When the
// context ends, it drains the node and then stops both. A second signal ends the
// program immediately.
func serveUntilDrained(ctx context.Context, log *logrus.Entry, runner Runner, http *telemetry.Server) error {
	runCtx, stopRunning := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunning()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { defer stopRunning(); return runner.Run(runCtx) })
	group.Go(func() error { return http.Serve(runCtx) })
	log.WithField("http_address", http.Address().String()).Info("started")
	group.Go(func() error {
		defer stopRunning()
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
		}
		return drainAndLog(runCtx, log, runner)
	})
	err := group.Wait()
	log.Info("stopped")
	return err
}

// drainAndLog drains the node and logs what it waits for.
func drainAndLog(ctx context.Context, log *logrus.Entry, runner Runner) error {
	drained := make(chan error, 1)
	go func() { drained <- runner.Drain(ctx) }()
	log.Info("stopping")
	for delay := firstDrainLogDelay; ; delay = drainLogInterval {
		select {
		case err := <-drained:
			return err
		case <-time.After(delay):
		}
		log.WithField("waiting_for", runner.PendingOnStop()).Info("stopping")
	}
}
