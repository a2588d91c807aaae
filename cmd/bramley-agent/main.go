// Command bramley-agent runs the agent beside one upstream.
package main

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"

	"github.com/urfave/cli/v3"
	"go.uber.org/dig"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/nodecmd"
	"bramleyhold.example/bramleyhold/internal/probe"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/tun"
)

const program = "bramley-agent"

// agentSettings holds the settings that only bramley-agent has.
type agentSettings struct {
	Service   service.Name   `flag:"service" validate:"required"`
	Upstream  netip.AddrPort `flag:"upstream" validate:"required"`
	Aliases   netip.Prefix   `flag:"aliases" validate:"required"`
	HealthURL string         `flag:"health-url" validate:"omitempty,http_url"`
	// DeviceAddress is for upstreams whose address is not on another device.
	DeviceAddress netip.Prefix `flag:"device-address"`
}

// Register implements settings.Group.
func (a *agentSettings) Register(s *settings.Set) {
	settings.String(s, &a.Service, "service", "", "service of the upstream beside this agent")
	settings.Text(s, &a.Upstream, "upstream", "", "address of the upstream: IP:port")
	settings.Text(s, &a.Aliases, "aliases", "", "prefix under which the upstream sees callers: address/bits; used on this VM only")
	settings.String(s, &a.HealthURL, "health-url", "", "health and load endpoint of the upstream; a TCP connect if empty")
	settings.Text(s, &a.DeviceAddress, "device-address", "", "address/bits to assign to the TUN device; none if empty")
	s.Check(func(l *finding.List) {
		if a.Aliases.IsValid() && a.Upstream.IsValid() && a.Aliases.Addr().Is4() != a.Upstream.Addr().Is4() {
			l.Errorf(settings.Place("aliases"), "%s: want the IP version of the upstream %s", a.Aliases, a.Upstream)
		}
		if a.Aliases.IsValid() && a.Aliases.Contains(a.Upstream.Addr()) {
			l.Errorf(settings.Place("aliases"), "%s: must not contain the upstream %s", a.Aliases, a.Upstream)
		}
	})
}

func main() {
	ctx, stop := settings.SignalContext(context.Background())
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run is main with its inputs and outputs as parameters.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	process, common, own := &settings.Process{}, &nodecmd.Node{}, &agentSettings{}
	set := settings.NewSet(process, common, own)
	command := &cli.Command{Name: program, Usage: "runs the agent beside one upstream", Writer: stdout}
	return settings.Run(ctx, args, stderr, command, set, func(ctx context.Context) error {
		return serve(ctx, stderr, process, common, own)
	})
}

// serve builds the program and runs it until the context ends.
func serve(ctx context.Context, out io.Writer, process *settings.Process, common *nodecmd.Node, own *agentSettings) error {
	container := dig.New()
	err := errors.Join(
		nodecmd.Provide(container, out, program, rpc.RoleAgent, process, common),
		container.Provide(func() (node.Device, error) {
			return openDevice(common, own)
		}),
		container.Provide(func(cfg node.Config, device node.Device) (*node.Agent, error) {
			cfg.Service = own.Service
			return node.NewAgent(node.AgentConfig{Config: cfg, Upstream: own.Upstream, Aliases: own.Aliases, Prober: newProber(own)}, device)
		}),
		container.Provide(func(a *node.Agent) nodecmd.Runner { return a }),
	)
	if err != nil {
		return err
	}
	return nodecmd.Run(ctx, container, process)
}

// openDevice opens a persistent device, so that the kernel keeps the
// connections of the upstream while the agent restarts.
func openDevice(common *nodecmd.Node, own *agentSettings) (*tun.Device, error) {
	cfg := tun.Config{Name: common.Device, Persistent: true, Routes: []netip.Prefix{own.Aliases}}
	if own.DeviceAddress.IsValid() {
		cfg.Addresses = []netip.Prefix{own.DeviceAddress}
	}
	return tun.Open(cfg)
}

func newProber(own *agentSettings) probe.Prober {
	if own.HealthURL != "" {
		return probe.NewHTTP(own.HealthURL)
	}
	return probe.NewConnect(own.Upstream)
}
