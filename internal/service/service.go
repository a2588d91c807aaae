// Package service describes services, which callers reach through virtual
// addresses, and the contract of each service with the load balancer.
package service

import (
	"fmt"
	"net/netip"
	"time"
)

// ID is the number of a service within the cluster. A number is never reused for
// another service.
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

// Number returns the IP protocol number, or 0 if the protocol is not supported.
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

// FlowShape determines how the flows of a service occupy the slots of an upstream.
type FlowShape string

// The shapes of flows.
const (
	// ShapeShortRequests means that a flow occupies one slot from its opening to its
	// end.
	ShapeShortRequests FlowShape = "short"
	// ShapeLongFlows means that a flow counts only against the connection limit. The
	// number of busy slots is the one that the upstream reports.
	ShapeLongFlows FlowShape = "long"
)

// Priority selects which of two goals has precedence for a service.
type Priority string

// The priorities of a service.
const (
	// PrioritySurvival prefers the survival of established flows to balanced load.
	PrioritySurvival Priority = "survival"
	// PriorityBalance prefers balanced load to the survival of established flows.
	PriorityBalance Priority = "balance"
)

// DefaultQueueDeadline is the longest time that an opening waits for a free slot
// unless the contract sets another one.
const DefaultQueueDeadline = 2 * time.Second

// MaxQueueDeadline bounds the queue deadline of a contract. Common callers give
// up connecting within 30 s. A longer deadline would keep openings in the queue
// whose callers have already given up.
const MaxQueueDeadline = 30 * time.Second

// MaxWarmUp and MaxWarmUpRate bound the warm-up of a contract. The rate is in requests
// per second.
const (
	MaxWarmUp     = 10 * time.Minute
	MaxWarmUpRate = 4000.0
)

// Contract states what the load balancer may assume about a service and what it must
// guarantee.
type Contract struct {
	Idempotent    bool          `json:"idempotent"`
	Shape         FlowShape     `json:"shape"`
	QueueDeadline time.Duration `json:"queue_deadline_ns"`
	Priority      Priority      `json:"priority"`
	// WarmUp is how long an upstream stays cold after its start, WarmUpRate the requests
	// per second that it bears meanwhile. If the rate is 0, none is stated.
	WarmUp     time.Duration `json:"warm_up_ns,omitempty"`
	WarmUpRate float64       `json:"warm_up_rate,omitempty"`
}

// WarmUpText describes the warm-up in one line, or is empty if none is stated.
func (c Contract) WarmUpText() string {
	if c.WarmUp == 0 && c.WarmUpRate == 0 {
		return ""
	}
	return fmt.Sprintf(" warm-up=%s warm-up-rate=%g/s", c.WarmUp, c.WarmUpRate)
}

// DefaultContract returns the contract of a service without a contract rule. It is
// the safest one, because it treats requests as not idempotent.
func DefaultContract() Contract {
	return Contract{Shape: ShapeShortRequests, QueueDeadline: DefaultQueueDeadline, Priority: PrioritySurvival}
}
