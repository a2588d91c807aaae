// Command bramley-agent runs the agent of one upstream on the same VM.
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

const programName = "bramley-agent"

// agentSettings holds the settings of bramley-agent only.
type agentSettings struct {
	Service   service.Name   `flag:"service" validate:"required"`
	Upstream  netip.AddrPort `flag:"upstream" validate:"required"`
	Aliases   netip.Prefix   `flag:"aliases" validate:"required"`
	HealthURL string         `flag:"health-url" validate:"omitempty,http_url"`
	// DeviceAddress is needed if the upstream's address is not assigned to another
	// device.
	DeviceAddress netip.Prefix `flag:"device-address"`
}

// Register implements settings.Group.
func (a *agentSettings) Register(s *settings.FlagSet) {
	settings.String(s, &a.Service, "service", "", "service of the upstream of this agent")
	settings.Text(s, &a.Upstream, "upstream", "", "address of the upstream: IP:port")
	settings.Text(s, &a.Aliases, "aliases", "", "prefix of the addresses that the upstream sees in place of callers' addresses: address/bits; used on this VM only")
	settings.String(s, &a.HealthURL, "health-url", "", "URL of the health and load endpoint of the upstream; if empty, it is probed by a TCP connect")
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
	programSettings := &agentSettings{}
	nodecmd.Main(nodecmd.Program{Name: programName, Role: rpc.RoleAgent, Usage: "runs the agent of one upstream on the same VM", Settings: programSettings, Provide: programSettings.provide})
}

// provide adds the constructors of the device and the agent to the container.
func (a *agentSettings) provide(container *dig.Container, nodeSettings *nodecmd.NodeSettings) error {
	return errors.Join(
		container.Provide(func() (node.Device, error) {
			return openDevice(nodeSettings, a)
		}),
		container.Provide(func(cfg node.Config, device node.Device) (*node.Agent, error) {
			cfg.Service = a.Service
			return node.NewAgent(node.AgentConfig{Config: cfg, Upstream: a.Upstream, Aliases: a.Aliases, Prober: newUpstreamProber(a)}, device)
		}),
		container.Provide(func(a *node.Agent) nodecmd.Runner { return a }),
	)
}

// openDevice opens a persistent device, so that the kernel keeps the upstream's
// connections while the agent restarts.
func openDevice(nodeSettings *nodecmd.NodeSettings, programSettings *agentSettings) (*tun.Device, error) {
	cfg := tun.Config{Name: nodeSettings.Device, Persistent: true, Routes: []netip.Prefix{programSettings.Aliases}}
	if programSettings.DeviceAddress.IsValid() {
		cfg.Addresses = []netip.Prefix{programSettings.DeviceAddress}
	}
	return tun.Open(cfg)
}

func newUpstreamProber(programSettings *agentSettings) probe.Prober {
	if programSettings.HealthURL != "" {
		return probe.NewHTTP(programSettings.HealthURL)
	}
	return probe.NewConnect(programSettings.Upstream)
}
