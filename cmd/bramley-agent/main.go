// Command bramley-agent runs the agent beside one upstream.
package main

import (
	"errors"
	"net/netip"

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
func (a *agentSettings) Register(s *settings.FlagSet) {
	settings.String(s, &a.Service, "service", "", "service of the upstream beside this agent")
	settings.Text(s, &a.Upstream, "upstream", "", "address of the upstream: IP:port")
	settings.Text(s, &a.Aliases, "aliases", "", "prefix under which the upstream sees callers: address/bits; used on this VM only")
	settings.String(s, &a.HealthURL, "health-url", "", "health and load endpoint of the upstream; a TCP connect if empty")
	settings.Text(s, &a.DeviceAddress, "device-address", "", "address/bits to assign to the TUN device; none if empty")
	s.Check(func(l *finding.List) {
		if a.Aliases.IsValid() && a.Upstream.IsValid() && a.Aliases.Addr().Is4() != a.Upstream.Addr().Is4() {
			l.Errorf(settings.Location("aliases"), "%s: want the IP version of the upstream %s", a.Aliases, a.Upstream)
		}
		if a.Aliases.IsValid() && a.Aliases.Contains(a.Upstream.Addr()) {
			l.Errorf(settings.Location("aliases"), "%s: must not contain the upstream %s", a.Aliases, a.Upstream)
		}
	})
}

func main() {
	own := &agentSettings{}
	nodecmd.Main(nodecmd.Program{Name: program, Role: rpc.RoleAgent, Usage: "runs the agent beside one upstream", Settings: own, Provide: own.provide})
}

// provide adds the constructors of this program.
func (a *agentSettings) provide(container *dig.Container, common *nodecmd.NodeSettings) error {
	return errors.Join(
		container.Provide(func() (node.Device, error) {
			return openDevice(common, a)
		}),
		container.Provide(func(cfg node.Config, device node.Device) (*node.Agent, error) {
			cfg.Service = a.Service
			return node.NewAgent(node.AgentConfig{Config: cfg, Upstream: a.Upstream, Aliases: a.Aliases, Prober: newProber(a)}, device)
		}),
		container.Provide(func(a *node.Agent) nodecmd.Runner { return a }),
	)
}

// openDevice opens a persistent device, so that the kernel keeps the
// connections of the upstream while the agent restarts.
func openDevice(common *nodecmd.NodeSettings, own *agentSettings) (*tun.Device, error) {
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
