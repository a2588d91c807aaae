package node

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// DefaultTunnelMTU is the largest inner packet for which the outer packet
	// fits an Ethernet frame.
	DefaultTunnelMTU = 1300
	// packetBufferBytes is the size of the largest packet that a device returns.
	packetBufferBytes = 65_536
)

// Device is a source and sink of IP packets.
type Device interface {
	ReadPacket(b []byte) (int, error)
	WritePacket(b []byte) error
	Close() error
}

// Config holds the settings of every node.
type Config struct {
	VM          vm.ID
	Zone        zone.ID
	Role        vm.Role
	Service     service.Name
	Incarnation vm.Incarnation
	// Address receives frames and gossip over UDP, and operators' requests over
	// TCP.
	Address netip.AddrPort
	// Control lists the jsonrpc2 addresses of the control VMs.
	Control []string
	// Seeds lists the gossip addresses of the control VMs.
	Seeds []netip.AddrPort
	// TLS is used for connections to control, ServerTLS for connections from
	// operators. Both are nil for plain TCP on loopback.
	TLS        *tls.Config
	ServerTLS  *tls.Config
	Keys       *frame.Keys
	Hasher     flow.Hasher
	TunnelMTU  int
	DataFolder string
	Seed       uint64
	Log        *logrus.Entry
	Metrics    metrics.Registry
	Events     *event.Buffer
	Tracer     *telemetry.Tracer
	// MaxOpenings bounds the openings that a balancer forwards per second; 0 sets
	// no bound.
	MaxOpenings int
	// TraceEvery is the average number of openings for each traced opening; 0
	// traces none.
	TraceEvery int
}

func (c *Config) setDefaults() {
	if c.TunnelMTU == 0 {
		c.TunnelMTU = DefaultTunnelMTU
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Events == nil {
		c.Events = event.NewBuffer(string(c.VM), 4096)
	}
	if c.Incarnation == 0 {
		c.Incarnation = vm.Incarnation(time.Now().UnixMilli())
	}
}
