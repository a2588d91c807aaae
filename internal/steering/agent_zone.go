package steering

import (
	"net/netip"
	"time"
)

// unconfirmedTerms collects the terms of control processes that know no leader, until a
// majority of the voters has sent theirs. Every acknowledged order is among the latest of
// these, unless its commit was not recorded before the processes stopped; the next leader
// then tells it.
//
// Load pattern: all processes are killed or lose power. Replicas have their state a second
// before they have elected a leader, and every opening waits for the agents.
type unconfirmedTerms struct {
	senders map[netip.Addr]bool
	latest  Terms
}

// add records a report. It reports whether a majority of the voters has sent theirs.
func (u *unconfirmedTerms) add(from netip.Addr, report *TermsReport) (majority bool) {
	if u.senders == nil {
		u.senders = map[netip.Addr]bool{}
	}
	if report.Terms.replaces(&u.latest, len(u.senders) > 0) {
		u.latest = report.Terms
	}
	u.senders[from] = true
	return len(u.senders) > report.Voters/2
}

// HandleTerms handles the terms of a control process. It reports whether they were
// applied.
func (a *Agent) HandleTerms(now time.Time, from netip.Addr, report *TermsReport) (applied bool) {
	if report.Confirmed {
		// They may be those that the agent has.
		a.awaitTermsUntil = time.Time{}
	}
	if report.Confirmed || a.termsKnown {
		return a.SetTerms(now, report.Terms)
	}
	return a.unconfirmed.add(from, report) && a.SetTerms(now, a.unconfirmed.latest)
}

// SetTerms applies terms unless the agent has later ones. It reports whether they were
// applied.
func (a *Agent) SetTerms(now time.Time, terms Terms) (applied bool) {
	if !terms.replaces(&a.terms, a.termsKnown) {
		return false
	}
	// The first terms of an agent count, too: its first check-in may be older than the return.
	returned := terms.OwnZoneReturns > a.terms.OwnZoneReturns
	a.terms, a.termsKnown, a.unconfirmed = terms, true, unconfirmedTerms{}
	a.applyWarmUpTerms(now)
	if returned {
		a.presumeCold(now)
	}
	return true
}

// AwaitsTerms reports whether the agent rejects openings until it has received terms: it
// has none, or was suspended since it received them.
func (a *Agent) AwaitsTerms(now time.Time) bool {
	if a.termsKnown && a.awaitTermsUntil.IsZero() {
		return false
	}
	return now.Before(a.awaitTermsUntil) || (!a.termsKnown && now.Sub(a.cfg.StartedAt) < a.cfg.ZoneOrderBound)
}

// ZoneOut reports whether the zone of the agent is out of service, as far as it knows.
func (a *Agent) ZoneOut() bool { return a.termsKnown && a.terms.isOut(a.cfg.Zone) }

// ZonesOut returns the number of zones that are out of service.
func (a *Agent) ZonesOut() int { return len(a.terms.ZonesOut) }

// zoneVerdict returns the cause for which the state of the zone does not allow an
// opening, or 0.
//
// Load pattern: a zone is taken out of service while agents and balancers are restarted
// in turn and some balancers are cut off. A balancer that has not learned of the order
// places a quarter of its openings in the zone.
//
// An agent that has just started cannot tell whether its zone is out of service, and
// rejects openings until control has told it. If no control process tells it within
// ZoneOrderBound, it delivers what balancers send: its upstream may be the last one of
// the service that they can reach, and balancers exclude the zones that they know of.
func (a *Agent) zoneVerdict(now time.Time) Verdict {
	switch {
	case a.ZoneOut():
		return ZoneOutOfService
	case a.AwaitsTerms(now):
		return ZoneUndetermined
	}
	return 0
}
