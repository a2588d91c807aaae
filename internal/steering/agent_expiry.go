package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

// Tick does what is due.
func (a *Agent) Tick(now time.Time, out *[]Action) {
	for len(a.unanswered) > 0 && now.Sub(a.unanswered[0].at) >= answerTimeout {
		u := a.unanswered[0]
		a.unanswered = a.unanswered[1:]
		a.giveUp(now, u, out)
	}
	if !a.sweepAt.IsZero() && !now.Before(a.sweepAt) {
		a.sweep(now)
	}
}

// giveUp returns an opening that the upstream has not answered.
func (a *Agent) giveUp(now time.Time, u unanswered, out *[]Action) {
	f := a.flows[u.key]
	if f == nil || f.answered || f.opening != u.opening {
		return
	}
	a.silentUntil = now.Add(silencePause)
	a.lookFor(now, u.key, out)
	origin := f.origin
	a.forget(u.key, f)
	a.tell(origin, Message{Kind: OpeningRejected, Verdict: NoResponse, Flow: u.key, Sequence: u.opening}, UpstreamFailed, out)
}

// lookFor asks whether the process of the upstream exists, at most once in a
// silencePause: it has not answered an opening, or its VM has returned one.
func (a *Agent) lookFor(now time.Time, key flow.Key, out *[]Action) {
	if now.Sub(a.probedAt) >= silencePause {
		a.probedAt = now
		*out = append(*out, Action{Kind: ProbeUpstream, Reason: UpstreamFailed, Flow: key, Incarnation: a.upstream.Incarnation})
	}
}

// Deadline returns when Tick has something to do next; zero if never.
func (a *Agent) Deadline() time.Time {
	next := a.sweepAt
	for len(a.unanswered) > 0 {
		u := a.unanswered[0]
		if f := a.flows[u.key]; f == nil || f.answered || f.opening != u.opening {
			a.unanswered = a.unanswered[1:]
			continue
		}
		if at := u.at.Add(answerTimeout); next.IsZero() || at.Before(next) {
			next = at
		}
		break
	}
	return next
}

func (a *Agent) planSweep(now time.Time) {
	if a.sweepAt.IsZero() {
		a.sweepAt = now.Add(sweepInterval)
	}
}

// dropStaleWork no longer counts requests that show no sign of life.
func (a *Agent) dropStaleWork(now time.Time) {
	for _, f := range a.flows {
		idle := now.Sub(f.seenAt)
		if (f.stage == running && idle > workTimeout) || (f.stage == expected && idle > requestWait) {
			a.setStage(f, quiet)
		}
	}
}

func (a *Agent) sweep(now time.Time) {
	a.dropStaleWork(now)
	for key, at := range a.denials {
		if now.Sub(at) >= denialLifetime {
			delete(a.denials, key)
		}
	}
	for key, f := range a.flows {
		idle := now.Sub(f.seenAt)
		if idle > a.cfg.IdleTimeout || (f.finished && idle > closedLifetime) {
			a.forget(key, f)
		}
	}
	for key, d := range a.doubts {
		if now.After(d.until) {
			delete(a.doubts, key)
		}
	}
	a.sweepAt = time.Time{}
	if len(a.flows) > 0 || len(a.doubts) > 0 || len(a.denials) > 0 {
		a.planSweep(now)
	}
}

func (a *Agent) forget(key flow.Key, f *held) {
	a.stages[f.stage]--
	delete(a.flows, key)
}
