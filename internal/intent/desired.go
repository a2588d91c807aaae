package intent

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
)

// RequestKind says what callers may do with requests on a route.
type RequestKind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "repeatable"
	// NonIdempotent requests may run once at most.
	NonIdempotent RequestKind = "run_once"
	// Upload requests may run once at most and have long bodies.
	Upload RequestKind = "upload"
)

// WeightedService is the part of a route's new flows that goes to one service.
type WeightedService struct {
	Service service.Name `json:"service" cbor:"1,keyasint"`
	Weight  uint32       `json:"weight" cbor:"2,keyasint"`
}

// Route sends the new flows of one virtual address to services.
type Route struct {
	Name     string            `json:"name" cbor:"1,keyasint"`
	Virtual  netip.AddrPort    `json:"virtual" cbor:"2,keyasint"`
	Backends []WeightedService `json:"split" cbor:"3,keyasint"`
	Kind     RequestKind       `json:"kind" cbor:"4,keyasint"`
	// Timeout is the time that a request may take, Objective the time within
	// which its answer is worth most.
	Timeout   time.Duration `json:"timeout_ns" cbor:"5,keyasint"`
	Objective time.Duration `json:"objective_ns" cbor:"6,keyasint"`
	// Priority orders routes under overload; 0 is the highest.
	Priority int `json:"priority" cbor:"7,keyasint"`
}

// DesiredService is one service of a desired state.
type DesiredService struct {
	Name        service.Name `json:"name" cbor:"1,keyasint"`
	Connections int          `json:"connections" cbor:"2,keyasint"`
}

// Desired is a whole configuration under a version: the highest version is in
// force. Values are not changed after they have been published.
type Desired struct {
	Version  uint64           `json:"version" cbor:"1,keyasint"`
	Routes   []Route          `json:"routes" cbor:"2,keyasint"`
	Services []DesiredService `json:"services" cbor:"3,keyasint"`
	// IdleTimeout is after which time without packets a flow may be forgotten.
	IdleTimeout time.Duration `json:"idle_timeout_ns" cbor:"4,keyasint"`
	// Document is what the operator sent; reads return it unchanged. Nodes get
	// the configuration without it.
	Document []byte `json:"document,omitempty" cbor:"-"`
}

// Route returns the route of a virtual address.
func (d *Desired) Route(virtual netip.AddrPort) (*Route, bool) {
	for i := range d.Routes {
		if d.Routes[i].Virtual == virtual {
			return &d.Routes[i], true
		}
	}
	return nil, false
}

// Validate reports everything that is wrong with a desired state.
func (d *Desired) Validate() finding.List {
	l := finding.List{}
	if d.Version == 0 {
		l.Errorf(finding.Location{Object: "desired state", Field: "version"}, "must be above 0")
	}
	services := make(map[service.Name]bool, len(d.Services))
	for _, s := range d.Services {
		object := fmt.Sprintf("service %.40q", s.Name)
		checkName(&l, object, "name", string(s.Name))
		if services[s.Name] {
			l.Errorf(finding.Location{Object: object, Field: "name"}, "appears twice")
		}
		services[s.Name] = true
	}
	virtuals := make(map[netip.AddrPort]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		r.validate(&l, services)
		if other, ok := virtuals[r.Virtual]; ok {
			l.Errorf(finding.Location{Object: r.object(), Field: "virtual"}, "%s is also that of route %.40q", r.Virtual, other)
		}
		virtuals[r.Virtual] = r.Name
	}
	return l
}

func (r *Route) object() string { return fmt.Sprintf("route %.40q", r.Name) }

func (r *Route) validate(l *finding.List, services map[service.Name]bool) {
	if !r.Virtual.IsValid() || r.Virtual.Port() == 0 {
		l.Errorf(finding.Location{Object: r.object(), Field: "virtual"}, "invalid address or port")
	}
	if r.Timeout <= 0 {
		l.Errorf(finding.Location{Object: r.object(), Field: "timeout"}, "%s: must be above 0", r.Timeout)
	}
	total := uint64(0)
	for _, share := range r.Backends {
		total += uint64(share.Weight)
		if !services[share.Service] {
			l.Errorf(finding.Location{Object: r.object(), Field: "service"}, "%.40q is not among the services", share.Service)
		}
	}
	if total == 0 {
		l.Errorf(finding.Location{Object: r.object(), Field: "service"}, "no service with a weight above 0")
	}
}

// decideDesired puts a desired state in force if its version is the highest.
// Sending the version in force again, or an earlier one, changes nothing.
func (s *State) decideDesired(d *Desired) Result {
	held := s.Desired
	switch {
	case held == nil || d.Version > held.Version:
		s.Desired = d
		s.Revision++
		s.History = appendBounded(s.History, HistoryEntry{Revision: s.Revision, Summary: fmt.Sprintf("desired state %d", d.Version)}, maxHistory)
		return Result{Outcome: Accepted, Revision: s.Revision}
	case d.Version == held.Version && !bytes.Equal(d.Document, held.Document):
		return Result{
			Outcome: Conflict, Revision: s.Revision,
			Reason: fmt.Sprintf("version %d is in force with other content", d.Version),
		}
	case d.Version == held.Version:
		return Result{Outcome: Accepted, Revision: s.Revision, Reason: "the version in force"}
	}
	return Result{Outcome: Superseded, Revision: s.Revision, Reason: fmt.Sprintf("version %d is in force", held.Version)}
}
