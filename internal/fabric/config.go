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

// Config holds the settings of one process. Addresses that its role does not use
// are zero.
type Config struct {
	VM      vm.ID
	Zone    zone.ID
	Address netip.Addr
	// PacketAddress is the UDP address on which a balancer receives the packets of
	// callers, and an agent those of balancers. Packets to a caller are sent to the
	// same port on the caller's address.
	PacketAddress netip.AddrPort
	// OutboundAddress is the UDP address on which an agent receives the packets that
	// its upstream sends.
	OutboundAddress netip.AddrPort
	// UpstreamAddress is the address of the upstream that runs beside an agent.
	UpstreamAddress  netip.AddrPort
	ReadinessAddress netip.AddrPort
	// ControlAddress serves HTTP: the operator's API at a control process, the
	// check-ins of the upstream at an agent.
	ControlAddress netip.AddrPort
	// NodePort and ControlPort are the UDP ports for messages between processes.
	// Balancers and agents listen on NodePort, control processes on ControlPort.
	// Both are the same on all VMs.
	NodePort, ControlPort uint16
	// RelayOffset is added to the destination port of packets and messages to other
	// processes. In tests a relay listens there and delays or drops some of them.
	// Zero in production.
	RelayOffset uint16
	// Seeds are the control processes that are contacted first.
	Seeds   []netip.Addr
	Service service.Name
	// FirstStart is set when the whole deployment starts with empty disks. Only then
	// may control bootstrap a new replicated log.
	FirstStart bool
	// CountsAsLoss is set on VMs whose failure counts against MaxLosses, the number
	// of VMs that may fail at the same time.
	CountsAsLoss bool
	MaxLosses    int
	// MaxZoneLosses is the number of availability zones that may fail at the same time.
	MaxZoneLosses int
	// Zones lists the availability zones of the deployment, in no order.
	Zones []zone.ID
	// ZoneOrderBound is the time after which no zone that was taken out of service may
	// get openings. Zero where zones are not taken out of service.
	ZoneOrderBound time.Duration
	// A cold upstream may get at most its stated rate times WarmUpOvershoot, and
	// WarmUpSlack more, openings within any second.
	WarmUpOvershoot, WarmUpSlack float64
	// LearnsCapacity is set if agents learn how many requests their upstream takes well.
	LearnsCapacity bool
	// AdmitsByClass is set if classes decide which requests get scarce room.
	AdmitsByClass bool
	// DataFolder is empty on a VM without a disk.
	DataFolder  string
	MemoryBytes int64
	// LinkBitsPerSecond is the rate of the VM's network link.
	LinkBitsPerSecond float64
	CheckInInterval   time.Duration
	// MaxFlowAge is the age at which a flow may be discarded even if it is in use. Zero if
	// the platform sets no limit.
	MaxFlowAge time.Duration
	// StopGracePeriod is the time from the request to stop until the platform kills
	// the process.
	StopGracePeriod time.Duration
	// ReachableAfter is how long the network must be undisturbed until a VM counts
	// as reachable from the others. Control replaces a voter that has not responded
	// for this time, or for half of CatchUp if that is shorter.
	ReachableAfter time.Duration
	// CatchUp is the time after which a VM that has started again, or the successor of a
	// removed VM, no longer counts as lost. Zero if the platform sets no such time.
	CatchUp time.Duration
}

// Dependencies holds the logs, metrics and functions that a process uses besides
// its configuration.
type Dependencies struct {
	Log       *logrus.Entry
	Decisions *decisionlog.Log
	Registry  metrics.Registry
	Codec     Codec
	// Reload reads the settings again.
	Reload func() (Config, error)
}

// Codec decodes packets, and writes and extracts their forwarding headers.
type Codec interface {
	// Decode returns an error for a datagram that is not a valid packet.
	Decode(data []byte, fromUpstream bool, decoded *steering.Packet) error
	SetForwardingHeader(data []byte, header steering.ForwardingHeader)
	// ExtractForwardingHeader returns the forwarding header of a packet and clears
	// its bytes in the packet. It reports false if the packet has none.
	ExtractForwardingHeader(data []byte) (steering.ForwardingHeader, bool)
	// RequestID returns the ID of the request that starts in a packet, or "".
	RequestID(data []byte) string
	// AppendReset appends a packet that resets a flow at its caller.
	AppendReset(dst []byte, key flow.Key, sequence uint32) []byte
}

// RedirectError names the leader when a call reaches another control process.
type RedirectError struct{ Leader netip.Addr }

func (e *RedirectError) Error() string {
	return fmt.Sprintf("this control process is not the leader; the leader is %s", e.Leader)
}

// UnavailableError reports why a control process cannot serve a call at present.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "control is unavailable: " + e.Reason }
