package fabric

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/decisionlog"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Config is what a process knows from its settings. Addresses that a role does
// not use are not set.
type Config struct {
	VM      vm.ID
	Zone    zone.ID
	Address netip.Addr
	// PacketAddress receives packets over UDP: of callers at a balancer, of balancers
	// at an agent. Callers get their packets at the same port.
	PacketAddress netip.AddrPort
	// OutboundAddress receives the packets of the upstream beside an agent.
	OutboundAddress netip.AddrPort
	// UpstreamAddress is the address of the upstream beside an agent.
	UpstreamAddress  netip.AddrPort
	ReadinessAddress netip.AddrPort
	// ControlAddress is for the calls of operators, or of the upstream beside an agent.
	ControlAddress netip.AddrPort
	// NodePort and ControlPort are the UDP ports between processes: those of
	// balancers and agents, and those of control. They are the same on all VMs.
	NodePort, ControlPort uint16
	// RelayOffset is added to the ports of other processes when packets and
	// messages are sent to them; a relay listens there that delays or drops some.
	// Zero outside of tests.
	RelayOffset uint16
	Seeds       []netip.Addr
	Service     service.Name
	// FirstStart is set when the whole deployment starts with empty disks.
	FirstStart bool
	// CountsAsLoss is set on VMs whose loss counts against MaxLosses, the number of VMs
	// that may be lost at once.
	CountsAsLoss bool
	MaxLosses    int
	// DataFolder is empty on a VM without a disk.
	DataFolder  string
	MemoryBytes int64
	// LinkBitsPerSecond is the rate of the VM's network link.
	LinkBitsPerSecond float64
	CheckInInterval   time.Duration
	// StopGracePeriod is the time between the request to stop and the end by force.
	StopGracePeriod time.Duration
	// ReachableAfter is after which time without disturbance a VM counts as in
	// contact with the others.
	ReachableAfter time.Duration
}

// Dependencies is what a process runs with besides its configuration.
type Dependencies struct {
	Log       *logrus.Entry
	Decisions *decisionlog.Log
	Registry  metrics.Registry
	Codec     Codec
	// Reload reads the settings again.
	Reload func() (Config, error)
}

// Codec reads and marks packets. Decode reports an error for what is no packet.
type Codec interface {
	Decode(data []byte, fromUpstream bool, p *steering.Packet) error
	SetForwardingHeader(data []byte, m steering.ForwardingHeader)
	// ExtractForwardingHeader returns the forwarding header of a packet and clears it.
	ExtractForwardingHeader(data []byte) (steering.ForwardingHeader, bool)
	// RequestID returns the id of the request that starts in a packet, or "".
	RequestID(data []byte) string
	AppendReset(dst []byte, key flow.Key, sequence uint32) []byte
}

// RedirectError says which control process leads.
type RedirectError struct{ Leader netip.Addr }

func (e *RedirectError) Error() string {
	return fmt.Sprintf("this control process does not lead; %s does", e.Leader)
}

// UnavailableError says why control cannot answer now.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "control is unavailable: " + e.Reason }
