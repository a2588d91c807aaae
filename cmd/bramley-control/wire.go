package main

import (
	"context"
	"errors"
	"io"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/telemetry"
)

const program = "bramley-control"

// serve builds the program and runs it until the context ends.
func serve(ctx context.Context, out io.Writer, process *settings.Process, tls *settings.TLS, c *controlSettings) error {
	container := dig.New()
	err := errors.Join(
		container.Provide(func() (*logrus.Entry, error) {
			return telemetry.NewLogger(out, program, process.VM, process.LogLevel)
		}),
		container.Provide(metrics.NewRegistry),
		container.Provide(func() (logstore.FileSystem, error) { return logstore.OpenFolder(process.DataFolder) }),
		container.Provide(func(log *logrus.Entry, registry metrics.Registry, files logstore.FileSystem) (control.Options, error) {
			return serverOptions(process, tls, c, log, registry, files)
		}),
		container.Provide(control.New),
		container.Provide(func(registry metrics.Registry, server *control.Server) (*telemetry.Server, error) {
			return telemetry.Listen(process.HTTPAddress, telemetry.Handler(registry, server.Health))
		}),
	)
	if err != nil {
		return err
	}
	err = container.Invoke(func(log *logrus.Entry, server *control.Server, http *telemetry.Server) error {
		return runServers(ctx, log, server, http)
	})
	return dig.RootCause(err)
}

func serverOptions(process *settings.Process, tls *settings.TLS, c *controlSettings,
	log *logrus.Entry, registry metrics.Registry, files logstore.FileSystem,
) (control.Options, error) {
	options := control.Options{
		VM: process.VM, Listen: c.Listen, Peers: c.Peers, Files: files, ElectionTimeout: c.ElectionTimeout,
		Heartbeat: c.Heartbeat, RequestTimeout: c.RequestTimeout, Log: log, Registry: registry,
	}
	if !tls.Enabled() {
		return options, nil
	}
	var err error
	options.ServerTLS, options.ClientTLS, err = rpc.LoadTLS(tls.CA, tls.Certificate, tls.Key)
	return options, err
}

// runServers keeps health and metrics available until the replica has stopped.
func runServers(ctx context.Context, log *logrus.Entry, server *control.Server, http *telemetry.Server) error {
	log.WithFields(logrus.Fields{"address": server.Address(), "http_address": http.Address().String()}).Info("started")
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error {
		defer cancel()
		return server.Run(ctx)
	})
	group.Go(func() error { return http.Serve(serving) })
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
