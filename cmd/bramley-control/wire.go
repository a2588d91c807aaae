package main

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/nodecmd"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/telemetry"
)

const program = "bramley-control"

// runControl creates the components of the program and runs them until the
// context ends.
func runControl(ctx context.Context, out io.Writer, process *settings.Process, controlOpts *controlSettings) error {
	container := dig.New()
	err := errors.Join(
		container.Provide(func() (*logrus.Entry, error) {
			return telemetry.NewLogger(out, program, process.VM, process.LogLevel)
		}),
		container.Provide(metrics.NewRegistry),
		container.Provide(func() (*nodecmd.Secrets, error) {
			return nodecmd.LoadSecretsForProcess(controlOpts.Keys, process.VM, rpc.RoleControl)
		}),
		container.Provide(func() (logstore.FileSystem, error) { return logstore.OpenFolder(process.DataFolder) }),
		container.Provide(func(log *logrus.Entry, registry metrics.Registry, secrets *nodecmd.Secrets) (*node.Observer, error) {
			return newObserver(process, controlOpts, log, registry, secrets)
		}),
		container.Provide(func(log *logrus.Entry, registry metrics.Registry, files logstore.FileSystem, secrets *nodecmd.Secrets, observer *node.Observer) control.Options {
			return control.Options{
				VM: process.VM, Listen: controlOpts.Listen, InitialPeers: controlOpts.Peers, Files: files, Members: observer.Members,
				ServerTLS: secrets.Server, ClientTLS: secrets.Client, ElectionTimeout: controlOpts.ElectionTimeout,
				HeartbeatInterval: controlOpts.Heartbeat, RequestTimeout: controlOpts.RequestTimeout, Log: log, Registry: registry,
			}
		}),
		container.Provide(control.New),
		container.Provide(func(registry metrics.Registry, server *control.Server) (*telemetry.Server, error) {
			return telemetry.Listen(process.HTTPAddress, telemetry.Handler(registry, server.Health))
		}),
	)
	if err != nil {
		return err
	}
	err = container.Invoke(func(log *logrus.Entry, server *control.Server, observer *node.Observer, http *telemetry.Server, registry metrics.Registry, secrets *nodecmd.Secrets) error {
		nodecmd.ReportCertificateExpiry(log, registry, secrets.Server, time.Now())
		return runServers(ctx, log, server, observer, http)
	})
	return dig.RootCause(err)
}

// newObserver returns the node that takes part in the gossip membership for
// this VM. Joining processes use it as a seed.
func newObserver(process *settings.Process, controlOpts *controlSettings, log *logrus.Entry, registry metrics.Registry, secrets *nodecmd.Secrets) (*node.Observer, error) {
	seed, err := nodecmd.RandomSeed()
	if err != nil {
		return nil, err
	}
	return node.NewObserver(node.Config{
		VM: process.VM, Zone: process.Zone, Address: controlOpts.Address, Seeds: controlOpts.Seeds, Keys: secrets.Frames,
		Hasher: secrets.Hasher, Seed: seed, Log: log, Metrics: registry,
	})
}

// runServers runs the control server and the observer. Health and metrics stay
// available until the control server has stopped.
func runServers(ctx context.Context, log *logrus.Entry, server *control.Server, observer *node.Observer, http *telemetry.Server) error {
	log.WithFields(logrus.Fields{"address": server.Address(), "http_address": http.Address().String()}).Info("started")
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, serveCtx := errgroup.WithContext(serveCtx)
	stopCtx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error {
		defer cancel()
		return server.Run(stopCtx)
	})
	// The observer returns if a later incarnation of this VM has replaced it.
	// The control server then stops as well.
	group.Go(func() error {
		defer stop()
		return observer.Run(serveCtx)
	})
	group.Go(func() error { return http.Serve(serveCtx) })
	err := group.Wait()
	log.WithField("error", errorText(err)).Info("stopped")
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
