// Command bramley-balancer runs one balancer on an entry VM.
package main

import (
	"errors"
	"net/netip"

	"go.uber.org/dig"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/nodecmd"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/tun"
	"bramleyhold.example/bramleyhold/internal/udplink"
)

const programName = "bramley-balancer"

// balancerSettings holds the settings of bramley-balancer only.
type balancerSettings struct {
	Virtual       []netip.Prefix `flag:"virtual"`
	PacketAddress netip.AddrPort `flag:"packet-address"`
	PacketSink    netip.AddrPort `flag:"packet-sink"`
	MaxOpenings   int            `flag:"max-openings" validate:"gte=0"`
}

// Register implements settings.Group.
func (b *balancerSettings) Register(s *settings.FlagSet) {
	settings.AddFlag(s, &b.Virtual, "virtual", "", "virtual addresses that are routed into the TUN device: address/bits,…", nodecmd.ParsePrefixes)
	settings.Text(s, &b.PacketAddress, "packet-address", "", "IP:port that receives IP packets as UDP datagrams, instead of a TUN device")
	settings.Text(s, &b.PacketSink, "packet-sink", "", "IP:port to which replies to callers are sent as UDP datagrams")
	settings.Int(s, &b.MaxOpenings, "max-openings", "0", "largest number of openings forwarded per second, further ones are dropped; 0 sets no bound")
	s.Check(func(l *finding.List) {
		if b.PacketAddress.IsValid() != b.PacketSink.IsValid() {
			l.Errorf(settings.Location("packet-sink"), "packet-address and packet-sink must be set together")
		}
		if !b.PacketAddress.IsValid() && len(b.Virtual) == 0 {
			l.Errorf(settings.Location("virtual"), "is required with a TUN device")
		}
	})
}

func main() {
	programSettings := &balancerSettings{}
	nodecmd.Main(nodecmd.Program{Name: programName, Role: rpc.RoleBalancer, Usage: "runs one balancer", Settings: programSettings, Provide: programSettings.provide})
}

// provide adds the constructors of the device and the balancer to the container.
func (b *balancerSettings) provide(container *dig.Container, nodeSettings *nodecmd.NodeSettings) error {
	return errors.Join(
		container.Provide(func() (node.Device, error) { return openDevice(nodeSettings, b) }),
		container.Provide(func(cfg node.Config, device node.Device) (*node.Balancer, error) {
			cfg.MaxOpenings = b.MaxOpenings
			return node.NewBalancer(cfg, device)
		}),
		container.Provide(func(b *node.Balancer) nodecmd.Runner { return b }),
	)
}

func openDevice(nodeSettings *nodecmd.NodeSettings, programSettings *balancerSettings) (node.Device, error) {
	if programSettings.PacketAddress.IsValid() {
		return udplink.OpenPackets(programSettings.PacketAddress, programSettings.PacketSink)
	}
	return tun.Open(tun.Config{Name: nodeSettings.Device, MTU: nodeSettings.TunnelMTU, Routes: programSettings.Virtual})
}
