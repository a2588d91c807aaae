// Package service describes the services that callers reach through virtual
// addresses and the contract that each service has with the load balancer.
package service

import (
	"fmt"
	"net/netip"
	"time"
)

// ID is the number of a service inside the cluster. Numbers are never reused.
type ID uint32

// Name is the name of a service in the asset register.
type Name string

// Protocol is the transport protocol of a service.
type Protocol string

// The transport protocols that a service can use.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// Number returns the IP protocol number, or 0 if the protocol is not known.
func (p Protocol) Number() uint8 {
	switch p {
	case TCP:
		return 6
	case UDP:
		return 17
	}
	return 0
}

// Endpoint is the virtual address on which callers reach a service.
type Endpoint struct {
	Address  netip.AddrPort `json:"address"`
	Protocol Protocol       `json:"protocol"`
}

func (e Endpoint) String() string { return fmt.Sprintf("%s/%s", e.Address, e.Protocol) }

// Shape says what occupies a slot of an upstream.
type Shape string

// The shapes of flows.
const (
	// ShortRequests: a flow holds one slot from its opening to its end.
	ShortRequests Shape = "short"
	// LongFlows: a flow counts against the connection limit; busy slots are
	// those that the upstream reports.
	LongFlows Shape = "long"
)

// Priority says which of the two measures weighs more for a service.
type Priority string

// The priorities of a service.
const (
	PreferSurvival Priority = "survival"
	PreferBalance  Priority = "balance"
)

// DefaultQueueDeadline bounds how long an opening waits for a free slot.
const DefaultQueueDeadline = 2 * time.Second

// MaxQueueDeadline bounds the queue deadline of a contract. Common callers give
// up connecting within 30 s; a longer queue holds work for callers that have
// gone.
const MaxQueueDeadline = 30 * time.Second

// Contract is what a service and the load balancer agree on.
type Contract struct {
	Idempotent    bool          `json:"idempotent"`
	Shape         Shape         `json:"shape"`
	QueueDeadline time.Duration `json:"queue_deadline_ns"`
	Priority      Priority      `json:"priority"`
}

// DefaultContract is in force for a service without a contract rule. It is
// the safest one: requests are taken for non-idempotent.
func DefaultContract() Contract {
	return Contract{Shape: ShortRequests, QueueDeadline: DefaultQueueDeadline, Priority: PreferSurvival}
}
