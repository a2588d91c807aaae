package steering

import "time"

// SetTerms applies terms unless the agent has later ones. It reports whether they were
// applied.
func (a *Agent) SetTerms(now time.Time, terms Terms) (applied bool) {
	if !terms.replaces(&a.terms, a.termsKnown) {
		return false
	}
	wasOut := a.termsKnown && a.terms.isOut(a.cfg.Zone)
	a.terms, a.termsKnown = terms, true
	if wasOut && !terms.isOut(a.cfg.Zone) {
		a.presumeCold(now)
	}
	return true
}

// AwaitsTerms reports whether the agent rejects openings until it has received terms.
func (a *Agent) AwaitsTerms(now time.Time) bool {
	return !a.termsKnown && now.Sub(a.cfg.StartedAt) < a.cfg.ZoneOrderBound
}

// ZoneOut reports whether the zone of the agent is out of service, as far as it knows.
func (a *Agent) ZoneOut() bool { return a.termsKnown && a.terms.isOut(a.cfg.Zone) }

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
