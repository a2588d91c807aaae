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

const program = "bramley-balancer"

// balancerSettings holds the settings that only bramley-balancer has.
type balancerSettings struct {
	Virtual       []netip.Prefix `flag:"virtual"`
	PacketAddress netip.AddrPort `flag:"packet-address"`
	PacketSink    netip.AddrPort `flag:"packet-sink"`
	MaxOpenings   int            `flag:"max-openings" validate:"gte=0"`
}

// Register implements settings.Group.
func (b *balancerSettings) Register(s *settings.FlagSet) {
	settings.Add(s, &b.Virtual, "virtual", "", "virtual addresses that are routed into the TUN device: address/bits,…", nodecmd.ParsePrefixes)
	settings.Text(s, &b.PacketAddress, "packet-address", "", "take IP packets from UDP datagrams at IP:port instead of a TUN device")
	settings.Text(s, &b.PacketSink, "packet-sink", "", "where answers to callers go as UDP datagrams: IP:port")
	settings.Int(s, &b.MaxOpenings, "max-openings", "0", "openings per second that are passed on at most, further ones are dropped; 0 sets no bound")
	s.Check(func(l *finding.List) {
		if b.PacketAddress.IsValid() != b.PacketSink.IsValid() {
			l.Errorf(settings.Location("packet-sink"), "packet-address and packet-sink belong together")
		}
		if !b.PacketAddress.IsValid() && len(b.Virtual) == 0 {
			l.Errorf(settings.Location("virtual"), "is required with a TUN device")
		}
	})
}

func main() {
	own := &balancerSettings{}
	nodecmd.Main(nodecmd.Program{Name: program, Role: rpc.RoleBalancer, Usage: "runs one balancer", Settings: own, Provide: own.provide})
}

// provide adds the constructors of this program.
func (b *balancerSettings) provide(container *dig.Container, common *nodecmd.NodeSettings) error {
	return errors.Join(
		container.Provide(func() (node.Device, error) { return openDevice(common, b) }),
		container.Provide(func(cfg node.Config, device node.Device) (*node.Balancer, error) {
			cfg.MaxOpenings = b.MaxOpenings
			return node.NewBalancer(cfg, device)
		}),
		container.Provide(func(b *node.Balancer) nodecmd.Runner { return b }),
	)
}

func openDevice(common *nodecmd.NodeSettings, own *balancerSettings) (node.Device, error) {
	if own.PacketAddress.IsValid() {
		return udplink.OpenPackets(own.PacketAddress, own.PacketSink)
	}
	return tun.Open(tun.Config{Name: common.Device, MTU: common.TunnelMTU, Routes: own.Virtual})
}
