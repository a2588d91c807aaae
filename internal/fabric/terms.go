package fabric

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// termsResendInterval is how often one control process sends unchanged terms to the
	// same process. With five of them, a process that has lost a datagram gets the terms
	// again within half a second on average. An agent that was suspended asks for them again;
	// it was so for longer than this where ZoneOrderBound is 4 s or more.
	termsResendInterval = 2 * time.Second
	// termsStartPeriod is the time after the first request of a process in which each
	// of its requests is answered with terms: its agent rejects openings without them.
	termsStartPeriod = 2 * time.Second
	// termsRecipientLifetime is when a process that sends no requests is forgotten.
	termsRecipientLifetime = 30 * time.Second
)

// termsOf returns the terms of an intent state. Their revision is that of the state.
// publishedTerms keeps the first revision that it has seen them at.
func termsOf(state *intent.State) steering.Terms {
	terms := steering.Terms{Revision: state.Revision, ZonesOut: state.ZonesOut()}
	if state.Desired == nil {
		return terms
	}
	for _, svc := range state.Desired.Services {
		if svc.WarmUp > 0 && svc.WarmUpRate > 0 {
			terms.WarmUps = append(terms.WarmUps, steering.ServiceWarmUp{Service: svc.Name, Duration: svc.WarmUp, Rate: svc.WarmUpRate})
		}
	}
	return terms
}

// reportFor returns the part of the terms that a process needs. An agent gets the rate of
// its own service only.
func (p *publishedTerms) reportFor(to *directory.Record) *steering.TermsReport {
	report := &steering.TermsReport{Terms: p.terms, Confirmed: p.confirmed, Voters: p.voters}
	if to.Role == vm.RoleUpstream {
		if i := slices.IndexFunc(p.zones, func(z intent.ZoneState) bool { return z.Zone() == to.Zone }); i >= 0 {
			report.Terms.OwnZoneReturns = p.zones[i].Returns
		}
		report.Terms.WarmUps = nil
		for _, warmUp := range p.terms.WarmUps {
			if warmUp.Service == to.Service {
				report.Terms.WarmUps = []steering.ServiceWarmUp{warmUp}
			}
		}
	}
	return report
}

// sameZone compares two states of a zone without the number of orders, which changes
// nothing for balancers and agents.
func sameZone(a, b intent.ZoneState) bool {
	return a.Zone() == b.Zone() && a.Out == b.Out && a.Returns == b.Returns
}

// publishedTerms holds the terms of the replica of this process and decides which
// processes get them.
//
// Load pattern: 80 processes send a sync request every 300 ms in turn to eight control
// processes, and all of them at once after a loss of power.
type publishedTerms struct {
	// always is set if the settings say that zones are taken out of service.
	always bool
	terms  steering.Terms
	// zones has the zones that have had orders.
	zones []intent.ZoneState
	// known is set once the state of a replica has been received, the last one with
	// stateRevision.
	known         bool
	stateRevision uint64
	// voters is the number of voters while the replica is one of them, or 0. The state of
	// a learner lacks orders that have been acknowledged.
	voters int
	// confirmed is set while the replica is a voter that knows a leader.
	confirmed  bool
	leads      bool
	recipients map[netip.Addr]termsRecipient
	nextSweep  time.Time
}

// termsRecipient is a process that has sent sync requests.
type termsRecipient struct {
	processIncarnation          uint64
	firstRequestAt, lastRequest time.Time
	sentAt                      time.Time
	sentRevision                uint64
}

// update takes over a state of the replica. It reports whether the terms must be sent to
// all known processes: this replica leads, and either has just become the leader or the
// terms have changed.
func (p *publishedTerms) update(state *control.ReplicaState) (sendToAll bool) {
	p.voters = 0
	if slices.Contains(state.Voters, state.Self) {
		p.voters = len(state.Voters)
	}
	p.confirmed = p.voters > 0 && state.Leader != ""
	led := p.leads
	p.leads = p.confirmed && state.Role == consensus.Leader
	changed := false
	if !p.known || state.State.Revision != p.stateRevision {
		terms := termsOf(state.State)
		changed = !p.known || !slices.EqualFunc(state.State.Zones, p.zones, sameZone) || !slices.Equal(terms.WarmUps, p.terms.WarmUps)
		if changed {
			p.terms = terms
		}
		p.known, p.stateRevision, p.zones = true, state.State.Revision, state.State.Zones
	}
	return p.leads && (changed || !led) && p.hasContent()
}

// withdraw stops the sending of terms while no replica is open.
func (p *publishedTerms) withdraw() { p.voters, p.confirmed, p.leads = 0, false, false }

// hasContent reports whether there is anything to tell.
func (p *publishedTerms) hasContent() bool {
	return p.voters > 0 && (p.always || len(p.zones) > 0 || len(p.terms.WarmUps) > 0)
}

// due reports whether the sender of a sync request gets terms now, and records it.
func (p *publishedTerms) due(now time.Time, sender *directory.Record) bool {
	if !p.hasContent() || sender.Role == vm.RoleControl {
		return false
	}
	p.forgetExpired(now)
	recipient, found := p.recipients[sender.Address]
	if !found || recipient.processIncarnation != sender.ProcessIncarnation {
		recipient = termsRecipient{processIncarnation: sender.ProcessIncarnation, firstRequestAt: now}
	}
	due := recipient.sentAt.IsZero() || recipient.sentRevision != p.terms.Revision ||
		now.Sub(recipient.firstRequestAt) < termsStartPeriod || now.Sub(recipient.sentAt) >= termsResendInterval
	if due {
		recipient.sentAt, recipient.sentRevision = now, p.terms.Revision
	}
	recipient.lastRequest = now
	if p.recipients == nil {
		p.recipients = map[netip.Addr]termsRecipient{}
	}
	p.recipients[sender.Address] = recipient
	return due
}

// forgetExpired removes the recipients that have sent no request for a long time.
func (p *publishedTerms) forgetExpired(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(termsRecipientLifetime)
	for address, recipient := range p.recipients {
		if now.Sub(recipient.lastRequest) >= termsRecipientLifetime {
			delete(p.recipients, address)
		}
	}
}
