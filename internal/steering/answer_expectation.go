package steering

import (
	"math"
	"time"
)

// The field Message.Flows of an agent that learns the capacity of its upstream has
// learnedMarker set. The bits below are then the health, in steps of 1/maxHealthCode,
// and the expected answer on a logarithmic scale. 0 is an answer that is not known yet.
// Balancers of earlier builds use the field for no decision. Counts of flows stay below
// the marker.
const (
	learnedMarker  = 1 << 15
	answerCodeBits = 10
	maxAnswerCode  = 1<<answerCodeBits - 1
	maxHealthCode  = 31
	// minCodedAnswer and maxCodedAnswer bound the coded answer times. Neighbouring codes
	// are 1.4 % apart.
	minCodedAnswer = 50 * time.Microsecond
	maxCodedAnswer = time.Minute
)

// answerExpectation is what an upstream is expected to do with the next request that gets
// a slot at once.
type answerExpectation struct {
	// learned is set if the agent learns the capacity of its upstream.
	learned bool
	// answer is the expected time of the answer, or 0 if it is not known yet.
	answer time.Duration
	// health is the share of requests that end well.
	health float64
}

// answerCodeStep is the logarithm of the ratio of neighbouring codes.
func answerCodeStep() float64 {
	return math.Log(float64(maxCodedAnswer)/float64(minCodedAnswer)) / (maxAnswerCode - 1)
}

// encode returns the expectation as the value of Message.Flows.
func (x *answerExpectation) encode() uint16 {
	code := 0.0
	if x.answer > 0 {
		answer := min(max(x.answer, minCodedAnswer), maxCodedAnswer)
		code = 1 + math.Round(math.Log(float64(answer)/float64(minCodedAnswer))/answerCodeStep())
	}
	health := math.Round(min(max(x.health, 0), 1) * maxHealthCode)
	return learnedMarker | uint16(health)<<answerCodeBits | uint16(code)
}

// decodeExpectation returns the expectation in the value of Message.Flows.
func decodeExpectation(flows uint16) answerExpectation {
	if flows&learnedMarker == 0 {
		return answerExpectation{}
	}
	x := answerExpectation{learned: true, health: float64(flows>>answerCodeBits&maxHealthCode) / maxHealthCode}
	if code := flows & maxAnswerCode; code > 0 {
		x.answer = time.Duration(float64(minCodedAnswer) * math.Exp(float64(code-1)*answerCodeStep()))
	}
	return x
}

// reportedFlows returns the value of Message.Flows: what this agent has learned, or the
// number of its flows.
func (a *Agent) reportedFlows(now time.Time) uint16 {
	if a.learner == nil {
		return uint16(min(len(a.flows), learnedMarker-1))
	}
	current := a.learner.expectation(now)
	return current.encode()
}
