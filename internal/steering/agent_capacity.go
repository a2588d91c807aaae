package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/capacity"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// capacityReportInterval is the least time between two capacity reports of an agent
	// that no packet has asked for.
	capacityReportInterval = 500 * time.Millisecond
	// reportedAnswerFactor and reportedHealthChange are the changes since the last
	// capacity report that cause the next one.
	reportedAnswerFactor = 2.0
	reportedHealthChange = 0.2
	// balancerMemory is how long after its last packet a balancer gets capacity reports.
	// maxReportedBalancers bounds the receivers.
	balancerMemory       = 30 * time.Second
	maxReportedBalancers = 64
)

// capacityLearner is what an agent that learns the capacity of its upstream keeps.
type capacityLearner struct {
	estimator *capacity.Estimator
	// balancers has the time of the last packet of each balancer.
	balancers map[netip.Addr]time.Time
	// reported is the expectation in the last capacity report, sent at reportedAt.
	reported   answerExpectation
	reportedAt time.Time
}

func newCapacityLearner(cfg *AgentConfig) *capacityLearner {
	if !cfg.LearnsCapacity {
		return nil
	}
	return &capacityLearner{estimator: capacity.New(capacity.Config{}), balancers: map[netip.Addr]time.Time{}, reported: answerExpectation{health: 1}}
}

// notePacket records that a balancer has forwarded a packet.
func (l *capacityLearner) notePacket(now time.Time, balancer netip.Addr) {
	if l == nil {
		return
	}
	if _, known := l.balancers[balancer]; known || len(l.balancers) < maxReportedBalancers {
		l.balancers[balancer] = now
	}
}

// restart forgets what was learned about the previous incarnation of the upstream.
func (l *capacityLearner) restart() {
	if l != nil {
		l.estimator, l.reported = capacity.New(capacity.Config{}), answerExpectation{health: 1}
	}
}

// setSlots replaces the slots that the upstream states.
func (l *capacityLearner) setSlots(slots int) {
	if l != nil {
		l.estimator.SetSlots(slots)
	}
}

// beginRequest records that a request of a flow has begun.
func (l *capacityLearner) beginRequest(now time.Time, held *heldFlow, class intent.Class) {
	if l != nil {
		held.capacityToken = l.estimator.Begin(now, class)
	}
}

// continueRequest records further data of the caller on a flow.
func (l *capacityLearner) continueRequest(now time.Time, held *heldFlow) {
	if l != nil && held.capacityToken != 0 {
		l.estimator.Continue(now, held.capacityToken)
	}
}

// endRequest records the end of the request of a flow.
func (l *capacityLearner) endRequest(now time.Time, held *heldFlow, outcome capacity.Outcome) {
	if l != nil && held.capacityToken != 0 {
		l.estimator.End(now, held.capacityToken, outcome)
		held.capacityToken = 0
	}
}

// forgetRequest drops the request of a flow whose end says nothing about the upstream.
func (l *capacityLearner) forgetRequest(held *heldFlow) {
	if l != nil && held.capacityToken != 0 {
		l.estimator.Cancel(held.capacityToken)
		held.capacityToken = 0
	}
}

// concurrencyLimit returns the number of requests that the upstream takes well: the
// learned limit, or its slots where none is learned.
func (a *Agent) concurrencyLimit(now time.Time) int {
	if a.learner == nil {
		return a.upstream.Slots
	}
	return min(a.learner.estimator.Limit(now), a.upstream.Slots)
}

// expectation returns what the upstream is expected to do with the next request that
// gets a slot at once.
func (l *capacityLearner) expectation(now time.Time) answerExpectation {
	return answerExpectation{learned: true, answer: l.estimator.RecentAnswer(), health: l.estimator.Health(now)}
}

// reportCapacity sends the expectation to the balancers that use this upstream, after a
// large change.
//
// Load pattern: an upstream turns slow or silent for seconds and recovers. Each of many
// balancers places an opening on it once a second or less, and would learn of either
// change long after the others.
func (a *Agent) reportCapacity(now time.Time, actions *[]Action) {
	l := a.learner
	if l == nil || now.Sub(l.reportedAt) < capacityReportInterval {
		return
	}
	current := l.expectation(now)
	if current.answer == 0 || !current.differsFrom(&l.reported) {
		return
	}
	l.reported, l.reportedAt = current, now
	for balancer, lastPacketAt := range l.balancers {
		if now.Sub(lastPacketAt) > balancerMemory {
			delete(l.balancers, balancer)
			continue
		}
		a.sendMessage(now, balancer, Message{Kind: CapacityReport}, CapacityChanged, actions)
	}
}

// differsFrom reports whether balancers that know another expectation should learn of
// this one at once.
func (x *answerExpectation) differsFrom(other *answerExpectation) bool {
	ratio := float64(x.answer) / float64(max(other.answer, 1))
	change := x.health - other.health
	return ratio > reportedAnswerFactor || ratio < 1/reportedAnswerFactor || change > reportedHealthChange || change < -reportedHealthChange
}

// LearnedCapacity is what an agent has learned about its upstream, for log lines and
// metrics.
type LearnedCapacity struct {
	// Limit is the number of requests that the upstream takes well, Slots what it states.
	Limit, Slots int
	// Answer is the recent time of an answer without the wait for a slot, or 0 if it is not
	// known yet. Health is the share of requests that end well.
	Answer time.Duration
	Health float64
	// Samples is the number of answers so far, SampleAge the time since the last one.
	Samples   int
	SampleAge time.Duration
}

// Capacity returns what this agent has learned. learns is false where it learns nothing.
func (a *Agent) Capacity(now time.Time) (learned LearnedCapacity, learns bool) {
	if a.learner == nil {
		return LearnedCapacity{}, false
	}
	current := a.learner.expectation(now)
	learned = LearnedCapacity{Limit: a.concurrencyLimit(now), Slots: a.upstream.Slots, Answer: current.answer, Health: current.health}
	learned.Samples, learned.SampleAge = a.learner.estimator.Evidence(now)
	return learned, true
}
