package fabric

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// UnknownZoneError reports an order about a zone that the settings do not list.
type UnknownZoneError struct{ Name string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("availability zone %.100q is not among the zones of the settings", e.Name)
}

// OrderZone takes an availability zone out of service or returns it to service, and
// returns once a majority has the order. With an error other than *UnknownZoneError, the
// caller must send the order again.
//
// Orders have no id. The number of orders that the zone has had is noted when the call
// arrives, and the order takes effect only after exactly these. A copy that waits in this
// process until a later order has been acknowledged therefore has no effect. It is not
// proposed again from here: only its sender can know that it is still wanted.
func (c *Control) OrderZone(ctx context.Context, name string, out bool) (result intent.Result, err error) {
	id, err := c.findZone(name)
	if err != nil {
		return result, err
	}
	startedAt := time.Now()
	order := intent.ZoneOrder{Region: id.Region, Name: id.Name, Out: out, AfterOrders: c.zoneOrderCount(id)}
	encoded, err := control.EncodeChange(intent.Change{Kind: intent.KindZone, Zone: &order})
	if err != nil {
		return result, err
	}
	err = c.runOnLeader(ctx, func(ctx context.Context, raft *control.RaftNode) error {
		if err := ctx.Err(); err != nil {
			return err
		}
		result, err = raft.Propose(ctx, encoded)
		return err
	})
	if err == nil && result.Outcome != intent.Accepted {
		err = &UnavailableError{Reason: result.Reason}
	}
	var redirect *RedirectError
	if errors.As(err, &redirect) {
		return result, err
	}
	c.recordDuration("zone_orders.us", time.Since(startedAt))
	entry := c.Log.WithFields(logrus.Fields{"zone": id, "out": out, "after_orders": *order.AfterOrders, "outcome": result.Outcome, "revision": result.Revision})
	if err != nil {
		c.incrementCounter("zone_orders.not_accepted")
		entry.WithError(err).Warn("zone order not accepted")
		return result, err
	}
	c.incrementCounter("zone_orders.accepted")
	entry.Info("zone order accepted")
	return result, nil
}

// findZone returns the zone with a name. It reads the settings again for one that it does
// not know: the deployment may have a new zone. A zone that has had orders stays known: it
// may have been removed from the settings while it was out of service.
func (c *Control) findZone(name string) (zone.ID, error) {
	zones := slices.Clone(c.cfg.Zones)
	if state := c.replicaState.Load(); state != nil {
		for i := range state.State.Zones {
			zones = append(zones, state.State.Zones[i].Zone())
		}
	}
	for range 2 {
		if i := slices.IndexFunc(zones, func(id zone.ID) bool { return id.Name == name }); i >= 0 {
			return zones[i], nil
		}
		cfg, err := c.Dependencies.Reload()
		if err != nil {
			c.Log.WithError(err).Error("settings not reloaded for a zone order; the previous zones remain in use")
			break
		}
		zones = cfg.Zones
	}
	return zone.ID{}, &UnknownZoneError{Name: name}
}

// zoneOrderCount returns the number of orders about a zone that this process has applied.
// A process that is behind returns too few, so that its order has no effect.
func (c *Control) zoneOrderCount(id zone.ID) *uint64 {
	orders := uint64(0)
	if state := c.replicaState.Load(); state != nil {
		orders = state.State.ZoneState(id).Orders
	}
	return &orders
}

// updateTerms takes over the terms of a replica state. The leader sends changed terms to
// all known processes; the others answer requests with them. It is called with the lock
// held.
func (c *Control) updateTerms(state *control.ReplicaState) {
	previous := c.terms.terms.ZonesOut
	sendToAll := c.terms.update(state)
	if zones := c.terms.terms.ZonesOut; !slices.Equal(previous, zones) {
		c.Log.WithFields(logrus.Fields{"zones_out": zones, "revision": c.terms.terms.Revision}).Info("zones out of service changed")
	}
	c.setGauge("zones.out", len(c.terms.terms.ZonesOut))
	if !sendToAll {
		return
	}
	for _, role := range []vm.Role{vm.RoleUpstream, vm.RoleBalancer} {
		c.directoryServer.Table().Entries(role, func(entry *directory.Entry) { c.sendTerms(&entry.Record) })
	}
}

// sendTerms sends the terms to a balancer or an agent. It is called with the lock held.
func (c *Control) sendTerms(to *directory.Record) {
	c.countSendError(c.transport.send(to.Address, c.cfg.NodePort, kindTerms, c.terms.reportFor(to)))
}

// handleTerms applies the latest terms, confirmed or not: a replica applies committed
// orders only, and agents enforce them.
func (b *Balancer) handleTerms(from netip.Addr, report *steering.TermsReport) {
	terms := &report.Terms
	b.lockAndRunDecision(func(now time.Time, out *[]steering.Action) {
		if !b.core.SetTerms(now, *terms) {
			return
		}
		b.setGauge("zones.out", len(terms.ZonesOut))
		b.Log.WithFields(logrus.Fields{"zones_out": terms.ZonesOut, "revision": terms.Revision, "control": from}).Info("zones out of service changed")
		b.core.RetryPending(now, false, out)
	})
}

func (a *Agent) handleTerms(from netip.Addr, report *steering.TermsReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	wasOut := a.core.ZoneOut()
	applied := a.core.HandleTerms(now, from, report)
	if (applied && wasOut != a.core.ZoneOut()) || (a.awaitsTerms && !a.core.AwaitsTerms(now)) {
		a.Log.WithFields(logrus.Fields{"zone": a.cfg.Zone, "out": a.core.ZoneOut(), "revision": report.Terms.Revision, "confirmed": report.Confirmed, "control": from}).Info("state of the own zone received")
	}
	a.updateAwaitsTerms(now, true)
	a.setGauge("zones.out", a.core.ZonesOut())
	a.resetTimer(now)
}

// updateAwaitsTerms requests terms from all control processes while the agent awaits them.
// received is set if the wait may have ended because they were received. It is called with
// the lock held.
func (a *Agent) updateAwaitsTerms(now time.Time, received bool) {
	awaits := a.core.AwaitsTerms(now)
	if awaits == a.awaitsTerms {
		return
	}
	a.awaitsTerms = awaits
	a.directoryClient.SetAwaitsTerms(now, awaits)
	entry := a.Log.WithFields(logrus.Fields{"zone": a.cfg.Zone, "bound_ms": a.cfg.ZoneOrderBound.Milliseconds()})
	switch {
	case awaits:
		entry.Info("openings are rejected until control has told whether the own zone is in service")
	case !received:
		a.incrementCounter("terms.not_received")
		entry.Warn("no control process has told whether the own zone is in service; openings are delivered")
	}
}
