package intent

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
)

// RequestKind determines how often the requests on a route may run.
type RequestKind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "repeatable"
	// NonIdempotent requests must run at most once.
	NonIdempotent RequestKind = "run_once"
	// Upload requests must run at most once and have long bodies.
	Upload RequestKind = "upload"
	// Download requests may run more than once and have long answers. The answers do
	// not pass through balancers, so the links of balancers carry only small packets
	// of downloads.
	Download RequestKind = "download"
)

// WeightedService is a service with its weight among the backends of a route.
type WeightedService struct {
	Service service.Name `json:"service" cbor:"1,keyasint"`
	Weight  uint32       `json:"weight" cbor:"2,keyasint"`
}

// Route distributes the new flows of one virtual address among services by
// weight.
type Route struct {
	Name     string            `json:"name" cbor:"1,keyasint"`
	Virtual  netip.AddrPort    `json:"virtual" cbor:"2,keyasint"`
	Backends []WeightedService `json:"split" cbor:"3,keyasint"`
	Kind     RequestKind       `json:"kind" cbor:"4,keyasint"`
	// Timeout is the longest time that a request may take. Objective is the
	// time within which its response has the highest value.
	Timeout   time.Duration `json:"timeout_ns" cbor:"5,keyasint"`
	Objective time.Duration `json:"objective_ns" cbor:"6,keyasint"`
	// Priority ranks routes under overload. 0 is the highest priority.
	Priority int `json:"priority" cbor:"7,keyasint"`
}

// DesiredService is one service of a desired state.
type DesiredService struct {
	Name        service.Name `json:"name" cbor:"1,keyasint"`
	Connections int          `json:"connections" cbor:"2,keyasint"`
	// WarmUp is how long an upstream stays cold after its start. WarmUpRate is the
	// requests per second that it bears while it is cold; 0 if no rate is stated.
	WarmUp     time.Duration `json:"warm_up_ns,omitempty" cbor:"3,keyasint,omitempty"`
	WarmUpRate float64       `json:"warm_up_rate,omitempty" cbor:"4,keyasint,omitempty"`
}

// DesiredState is a complete configuration with a version. The highest version is
// the one that is applied. Values are not modified after they have been
// published.
type DesiredState struct {
	Version  uint64           `json:"version" cbor:"1,keyasint"`
	Routes   []Route          `json:"routes" cbor:"2,keyasint"`
	Services []DesiredService `json:"services" cbor:"3,keyasint"`
	// IdleTimeout is the time without packets after which a flow may be
	// removed.
	IdleTimeout time.Duration `json:"idle_timeout_ns" cbor:"4,keyasint"`
	// Document is the configuration as the operator sent it, which reads
	// return unchanged. Nodes receive the configuration without it.
	Document []byte `json:"document,omitempty" cbor:"-"`
}

// FindRoute returns the route of a virtual address.
func (d *DesiredState) FindRoute(virtual netip.AddrPort) (*Route, bool) {
	for i := range d.Routes {
		if d.Routes[i].Virtual == virtual {
			return &d.Routes[i], true
		}
	}
	return nil, false
}

// Validate returns all errors in a desired state.
func (d *DesiredState) Validate() finding.List {
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
			l.Errorf(finding.Location{Object: r.objectName(), Field: "virtual"}, "%s is also that of route %.40q", r.Virtual, other)
		}
		virtuals[r.Virtual] = r.Name
	}
	return l
}

func (r *Route) objectName() string { return fmt.Sprintf("route %.40q", r.Name) }

func (r *Route) validate(l *finding.List, services map[service.Name]bool) {
	if !r.Virtual.IsValid() || r.Virtual.Port() == 0 {
		l.Errorf(finding.Location{Object: r.objectName(), Field: "virtual"}, "invalid address or port")
	}
	if r.Timeout <= 0 {
		l.Errorf(finding.Location{Object: r.objectName(), Field: "timeout"}, "%s: must be above 0", r.Timeout)
	}
	total := uint64(0)
	for _, backend := range r.Backends {
		total += uint64(backend.Weight)
		if !services[backend.Service] {
			l.Errorf(finding.Location{Object: r.objectName(), Field: "service"}, "%.40q is not among the services", backend.Service)
		}
	}
	if total == 0 {
		l.Errorf(finding.Location{Object: r.objectName(), Field: "service"}, "no service with a weight above 0")
	}
}

// applyDesired replaces the desired state if the given one has a higher
// version. Repeating the current version with the same document is accepted
// and changes nothing. A lower version is superseded.
func (s *State) applyDesired(d *DesiredState) Result {
	current := s.Desired
	switch {
	case current == nil || d.Version > current.Version:
		s.Desired = d
		s.Revision++
		s.History = appendBounded(s.History, HistoryEntry{Revision: s.Revision, Summary: fmt.Sprintf("desired state %d", d.Version)}, maxHistory)
		return Result{Outcome: Accepted, Revision: s.Revision}
	case d.Version == current.Version && !bytes.Equal(d.Document, current.Document):
		return Result{
			Outcome: Conflict, Revision: s.Revision,
			Reason: fmt.Sprintf("version %d is in force with other content", d.Version),
		}
	case d.Version == current.Version:
		return Result{Outcome: Accepted, Revision: s.Revision, Reason: "the version in force"}
	}
	return Result{Outcome: Superseded, Revision: s.Revision, Reason: fmt.Sprintf("version %d is in force", current.Version)}
}
