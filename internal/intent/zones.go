package intent

import (
	"cmp"
	"fmt"
	"slices"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// maxZoneNameBytes bounds the region and the name of a zone in an order.
const maxZoneNameBytes = 200

// ZoneOrder takes an availability zone out of service or returns it to service.
type ZoneOrder struct {
	// Region and Name identify the zone. They are separate fields because zone.ID cannot
	// be decoded from text with a name that has a slash.
	Region string `json:"region,omitempty"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	// AfterOrders makes the order conditional. If it is set, the change has no base
	// revision and no operation id. The order then takes effect only while ZoneState.Orders
	// has this value: a copy that is delayed until after a later order has no effect.
	AfterOrders *uint64 `json:"after_orders,omitempty"`
}

// Zone returns the zone that the order is about.
func (o *ZoneOrder) Zone() zone.ID { return zone.ID{Region: o.Region, Name: o.Name} }

// ZoneState is the state of a zone about which an order has been accepted.
type ZoneState struct {
	Region string `json:"region,omitempty"`
	Name   string `json:"name"`
	// Out is set while the zone is out of service.
	Out bool `json:"out"`
	// Orders counts the accepted orders about the zone, those that changed nothing
	// included.
	Orders uint64 `json:"orders"`
	// Returns counts how often the zone was returned to service. An agent that has missed
	// an order and its withdrawal learns from it that its upstream may be cold.
	Returns uint64 `json:"returns"`
}

// Zone returns the zone that the state is about.
func (z *ZoneState) Zone() zone.ID { return zone.ID{Region: z.Region, Name: z.Name} }

// ZoneState returns the state of a zone. A zone without orders is in service.
func (s *State) ZoneState(id zone.ID) ZoneState {
	if i := s.zoneIndex(id); i >= 0 {
		return s.Zones[i]
	}
	return ZoneState{Region: id.Region, Name: id.Name}
}

// ZonesOut returns the zones that are out of service, in order.
func (s *State) ZonesOut() []zone.ID {
	var out []zone.ID
	for i := range s.Zones {
		if s.Zones[i].Out {
			out = append(out, s.Zones[i].Zone())
		}
	}
	return out
}

func (s *State) zoneIndex(id zone.ID) int {
	return slices.IndexFunc(s.Zones, func(z ZoneState) bool { return z.Zone() == id })
}

// isConditionalZoneOrder reports whether a change is a zone order with AfterOrders.
func (c *Change) isConditionalZoneOrder() bool {
	return c.Kind == KindZone && c.Zone != nil && c.Zone.AfterOrders != nil
}

// HasNoBaseRevision reports whether a change is applied whatever the revision is. Nodes get
// such a change in a snapshot, never as a delta.
func (c *Change) HasNoBaseRevision() bool { return c.Kind == KindDesired || c.isConditionalZoneOrder() }

// validate returns the errors in an order with a base revision.
func (o *ZoneOrder) validate(l *finding.List) {
	if err := o.check(); err != nil {
		l.Errorf(finding.Location{Object: "zone", Field: "name"}, "%v", err)
	}
	if o.AfterOrders != nil {
		l.Errorf(finding.Location{Object: "zone", Field: "after_orders"}, "must not be set in an order with a base revision")
	}
}

// applyConditionalZoneOrder applies a zone order with AfterOrders.
//
// An order for the state that the zone has is accepted and changes no revision. It is
// counted all the same: it may acknowledge a withdrawal whose order is still on its way.
// It is not counted if AfterOrders does not match, because it may then be a delayed copy.
func (s *State) applyConditionalZoneOrder(o *ZoneOrder) Result {
	if err := o.check(); err != nil {
		return Result{Outcome: Rejected, Revision: s.Revision, Reason: err.Error()}
	}
	current := s.ZoneState(o.Zone())
	matches := current.Orders == *o.AfterOrders
	switch {
	case !matches && current.Out != o.Out:
		return Result{
			Outcome: Conflict, Revision: s.Revision,
			Reason: fmt.Sprintf("the order follows %d orders about zone %s, which has had %d", *o.AfterOrders, o.Zone(), current.Orders),
		}
	case matches && current.Out == o.Out:
		s.setZone(o)
	case current.Out != o.Out:
		s.setZone(o)
		s.Revision++
		s.History = appendBounded(s.History, HistoryEntry{Revision: s.Revision, Summary: o.Summary()}, maxHistory)
	}
	return Result{Outcome: Accepted, Revision: s.Revision}
}

// orderZone applies a zone order with a base revision. Its zone must be in the inventory,
// unless it has had orders before: its VMs may have been removed since.
func (s *State) orderZone(o *ZoneOrder) (string, error) {
	if err := o.check(); err != nil {
		return "", err
	}
	known := slices.ContainsFunc(s.VMs, func(v VM) bool { return v.Zone == o.Zone() })
	if !known && s.zoneIndex(o.Zone()) < 0 {
		return "", &InvalidChangeError{Object: "zone", Name: o.Zone().String(), Reason: "has no VM in the inventory"}
	}
	s.setZone(o)
	return o.Summary(), nil
}

// setZone sets the state of a zone and counts the order.
func (s *State) setZone(o *ZoneOrder) {
	i := s.zoneIndex(o.Zone())
	if i < 0 {
		s.Zones = append(s.Zones, ZoneState{Region: o.Region, Name: o.Name})
		slices.SortFunc(s.Zones, func(a, b ZoneState) int {
			return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name))
		})
		i = s.zoneIndex(o.Zone())
	}
	current := &s.Zones[i]
	if current.Out && !o.Out {
		current.Returns++
	}
	current.Out = o.Out
	current.Orders++
}

// Summary describes the order in one line.
func (o *ZoneOrder) Summary() string {
	if o.Out {
		return fmt.Sprintf("zone %s out of service", o.Zone())
	}
	return fmt.Sprintf("zone %s in service", o.Zone())
}

func (o *ZoneOrder) check() error {
	if o.Name == "" || len(o.Name) > maxZoneNameBytes || len(o.Region) > maxZoneNameBytes {
		return &InvalidChangeError{Object: "zone", Name: o.Name, Reason: fmt.Sprintf("name is empty, or name or region has over %d bytes", maxZoneNameBytes)}
	}
	return nil
}
