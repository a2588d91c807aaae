package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/nodecmd"
	"bramleyhold.example/bramleyhold/internal/settings"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// allowedReplicaCounts are the sizes of the initial configuration that survive
// the loss of a minority. More than seven replicas would make a commit too
// expensive.
var allowedReplicaCounts = []int{1, 3, 5, 7}

// controlSettings are the settings that only bramley-control has.
type controlSettings struct {
	Listen          string           `flag:"listen" validate:"listen"`
	Address         netip.AddrPort   `flag:"address" validate:"required"`
	Seeds           []netip.AddrPort `flag:"seeds"`
	Keys            string           `flag:"keys" validate:"required,dir"`
	Peers           map[vm.ID]string `flag:"peers" validate:"required"`
	ElectionTimeout time.Duration    `flag:"election-timeout" validate:"gte=100ms,lte=1m"`
	Heartbeat       time.Duration    `flag:"heartbeat" validate:"gte=10ms"`
	RequestTimeout  time.Duration    `flag:"request-timeout" validate:"gte=100ms"`
}

// Register implements settings.Group.
func (c *controlSettings) Register(s *settings.FlagSet) {
	settings.String(s, &c.Listen, "listen", "127.0.0.1:7400", "address of the jsonrpc2 methods")
	settings.Text(s, &c.Address, "address", "", "UDP address of gossip: IP:port")
	settings.AddFlag(s, &c.Seeds, "seeds", "", "gossip addresses of the other control VMs: IP:port,…", nodecmd.ParseAddresses)
	settings.String(s, &c.Keys, "keys", "", "folder with the certificate and the frame keys of this VM")
	settings.AddFlag(s, &c.Peers, "peers", "", "control VMs of the first start, including this one: name=host:port,…", parsePeers)
	settings.Duration(s, &c.ElectionTimeout, "election-timeout", "1s", "shortest time without a leader before an election")
	settings.Duration(s, &c.Heartbeat, "heartbeat", "200ms", "interval at which a leader contacts the other replicas")
	settings.Duration(s, &c.RequestTimeout, "request-timeout", "5s", "how long a request waits for a majority")
}

// parsePeers parses a list of name=host:port items separated by commas.
func parsePeers(text string) (map[vm.ID]string, error) {
	if text == "" {
		return nil, nil
	}
	peers := map[vm.ID]string{}
	for item := range strings.SplitSeq(text, ",") {
		name, address, ok := strings.Cut(item, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q: want name=host:port", item)
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%q: want name=host:port", item)
		}
		if _, ok := peers[vm.ID(name)]; ok {
			return nil, fmt.Errorf("%q appears twice", name)
		}
		peers[vm.ID(name)] = address
	}
	if !slices.Contains(allowedReplicaCounts, len(peers)) {
		return nil, errors.New("want 1, 3, 5 or 7 control VMs")
	}
	return peers, nil
}

// checkCombinations reports settings that are missing or contradict each
// other.
func checkCombinations(flags *settings.FlagSet, process *settings.Process, controlOpts *controlSettings) {
	flags.Check(func(l *finding.List) {
		if _, ok := controlOpts.Peers[process.VM]; len(controlOpts.Peers) > 0 && process.VM != "" && !ok {
			l.Errorf(settings.Location("peers"), "this VM %q is missing", process.VM)
		}
		if process.DataFolder == "" {
			l.Errorf(settings.Location("data-folder"), "is required")
		}
		if controlOpts.Heartbeat > 0 && controlOpts.ElectionTimeout > 0 && controlOpts.ElectionTimeout < 3*controlOpts.Heartbeat {
			l.Errorf(settings.Location("heartbeat"), "%s: must be at most a third of the election timeout %s", controlOpts.Heartbeat, controlOpts.ElectionTimeout)
		}
	})
}
