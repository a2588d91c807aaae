package steering

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Terms is what the operators have ordered beyond the desired state: which zones are out
// of service and how cold upstreams are treated. Control processes with a replica send it.
type Terms struct {
	// Revision orders terms. A process keeps those with the highest one.
	Revision uint64
	// ZonesOut lists the zones whose upstreams get no openings.
	ZonesOut []zone.ID
	// OwnZoneReturns counts how often the zone of the receiving agent was returned to
	// service. It is not set for balancers.
	OwnZoneReturns uint64
	// WarmUps has the services that state a rate for cold upstreams.
	WarmUps []ServiceWarmUp
}

// TermsReport has the terms of one control process.
type TermsReport struct {
	_ struct{} `cbor:",toarray"`

	Terms Terms
	// Confirmed is set if the replica of the process is a voter that knows a leader. If it
	// is not set, the replica may lack orders that have been acknowledged.
	Confirmed bool
	// Voters is the number of voters that the replica knows of.
	Voters int
}

// ServiceWarmUp is how the cold upstreams of a service are treated.
type ServiceWarmUp struct {
	Service service.Name
	// Duration is how long an upstream stays cold after its start. Rate is the requests
	// per second that it bears meanwhile.
	Duration time.Duration
	Rate     float64
}

// isOut reports whether a zone is out of service.
func (t *Terms) isOut(id zone.ID) bool { return slices.Contains(t.ZonesOut, id) }

// replaces reports whether terms are to be used instead of previous ones, which are
// invalid unless known is set.
func (t *Terms) replaces(previous *Terms, known bool) bool {
	return !known || t.Revision > previous.Revision
}
