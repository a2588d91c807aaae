// Command bramley-balancer runs one balancer on an entry VM.
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
}

// Register implements settings.Group.
func (b *balancerSettings) Register(s *settings.Set) {
	settings.Add(s, &b.Virtual, "virtual", "", "virtual addresses that are routed into the TUN device: address/bits,…", nodecmd.ParsePrefixes)
	settings.Text(s, &b.PacketAddress, "packet-address", "", "take IP packets from UDP datagrams at IP:port instead of a TUN device")
	settings.Text(s, &b.PacketSink, "packet-sink", "", "where answers to callers go as UDP datagrams: IP:port")
	s.Check(func(l *finding.List) {
		if b.PacketAddress.IsValid() != b.PacketSink.IsValid() {
			l.Errorf(settings.Place("packet-sink"), "packet-address and packet-sink belong together")
		}
		if !b.PacketAddress.IsValid() && len(b.Virtual) == 0 {
			l.Errorf(settings.Place("virtual"), "is required with a TUN device")
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
	process, common, own := &settings.Process{}, &nodecmd.Node{}, &balancerSettings{}
	set := settings.NewSet(process, common, own)
	command := &cli.Command{Name: program, Usage: "runs one balancer", Writer: stdout}
	return settings.Run(ctx, args, stderr, command, set, func(ctx context.Context) error {
		return serve(ctx, stderr, process, common, own)
	})
}

// serve builds the program and runs it until the context ends.
func serve(ctx context.Context, out io.Writer, process *settings.Process, common *nodecmd.Node, own *balancerSettings) error {
	container := dig.New()
	err := errors.Join(
		nodecmd.Provide(container, out, program, rpc.RoleBalancer, process, common),
		container.Provide(func() (node.Device, error) { return openDevice(common, own) }),
		container.Provide(node.NewBalancer),
		container.Provide(func(b *node.Balancer) nodecmd.Runner { return b }),
	)
	if err != nil {
		return err
	}
	return nodecmd.Run(ctx, container, process)
}

func openDevice(common *nodecmd.Node, own *balancerSettings) (node.Device, error) {
	if own.PacketAddress.IsValid() {
		return udplink.OpenPackets(own.PacketAddress, own.PacketSink)
	}
	return tun.Open(tun.Config{Name: common.Device, MTU: common.TunnelMTU, Routes: own.Virtual})
}
