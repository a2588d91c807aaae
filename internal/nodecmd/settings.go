package nodecmd

import (
	"fmt"
	"net"
	"net/netip"
	"strings"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/settings"
)

// NodeSettings holds the settings of every node.
type NodeSettings struct {
	Address    netip.AddrPort   `flag:"address" validate:"required"`
	Control    []string         `flag:"control" validate:"required"`
	Seeds      []netip.AddrPort `flag:"seeds" validate:"required"`
	Keys       string           `flag:"keys" validate:"required,dir"`
	TunnelMTU  int              `flag:"tunnel-mtu" validate:"gte=576,lte=8900"`
	TraceEvery int              `flag:"trace-every" validate:"gte=0"`
	TraceFile  string           `flag:"trace-file"`
	Device     string           `flag:"device" validate:"required,max=15"`
}

// Register implements settings.Group.
func (n *NodeSettings) Register(s *settings.FlagSet) {
	settings.Text(s, &n.Address, "address", "", "address of frames and gossip over UDP and of operators' requests over TCP: IP:port")
	settings.Strings(s, &n.Control, "control", "", "jsonrpc2 addresses of the control VMs: host:port,…")
	settings.AddFlag(s, &n.Seeds, "seeds", "", "gossip addresses of the control VMs: IP:port,…", ParseAddresses)
	settings.String(s, &n.Keys, "keys", "", "folder with the certificate and the frame keys of this VM")
	settings.Int(s, &n.TunnelMTU, "tunnel-mtu", fmt.Sprint(node.DefaultTunnelMTU), "largest packet that is sent in a frame, in bytes")
	settings.Int(s, &n.TraceEvery, "trace-every", "1000", "average number of openings per traced opening, which is chosen at random; 0 traces none")
	settings.String(s, &n.TraceFile, "trace-file", "", "file to which finished spans are appended as JSON; no file if empty")
	settings.String(s, &n.Device, "device", "bram0", "name of the TUN device")
	s.Check(n.check)
}

func (n *NodeSettings) check(findings *finding.List) {
	for _, address := range n.Control {
		if _, _, err := net.SplitHostPort(address); err != nil {
			findings.Errorf(settings.Location("control"), "%q: want host:port", address)
		}
	}
	if n.Address.IsValid() && n.Address.Addr().IsUnspecified() {
		findings.Errorf(settings.Location("address"), "%s: other VMs cannot reach an unspecified address", n.Address)
	}
}

// ParseAddresses reads a comma-separated list of addresses with ports.
func ParseAddresses(text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, nil
	}
	var addresses []netip.AddrPort
	for item := range strings.SplitSeq(text, ",") {
		address, err := netip.ParseAddrPort(item)
		if err != nil {
			return nil, fmt.Errorf("%q: want IP:port", item)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// ParsePrefixes reads a comma-separated list of prefixes.
func ParsePrefixes(text string) ([]netip.Prefix, error) {
	if text == "" {
		return nil, nil
	}
	var prefixes []netip.Prefix
	for item := range strings.SplitSeq(text, ",") {
		prefix, err := netip.ParsePrefix(item)
		if err != nil {
			return nil, fmt.Errorf("%q: want address/bits", item)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}
