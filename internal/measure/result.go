package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result contains the figures of one run.
type Result struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     Policy `json:"policy"`
	Seed       uint64 `json:"seed"`

	// A broken flow is an established flow that ended by a reset or a stall before
	// it got all its responses. BrokenFlows is the sum of both kinds.
	EstablishedFlows int64 `json:"established_flows"`
	BrokenFlows      int64 `json:"broken_flows"`
	BrokenByReset    int64 `json:"broken_reset"`
	BrokenByStall    int64 `json:"broken_stalled"`
	// LostInUpstreamCrash counts flows whose upstream crashed. BrokenFlows does not
	// include them.
	LostInUpstreamCrash int64 `json:"lost_with_upstream"`
	// PacketsForWrongService counts packets that reached an upstream of another
	// service.
	PacketsForWrongService int64 `json:"wrong_service"`
	// WrongResponses counts responses to a request that the caller has not sent. In
	// control scenarios it counts contradictory responses to one operation, and
	// changes that a node could not apply.
	WrongResponses int64 `json:"wrong_answer"`
	// ExecutedTwice counts repeated executions of a request or an operation.
	ExecutedTwice int64 `json:"run_twice"`
	// RefusedButExecuted counts requests and operations that were executed although
	// their caller or operator received a refusal.
	RefusedButExecuted int64 `json:"refused_but_ran"`
	// FlowsAfterLeave counts flows that were opened on a leaving upstream later than
	// stallTimeout after it started to leave.
	FlowsAfterLeave int64 `json:"work_after_leave"`

	Imbalance        float64 `json:"imbalance"`
	Openings         int64   `json:"openings"`
	OpeningsRefused  int64   `json:"openings_refused"`
	OpeningsTimedOut int64   `json:"openings_timed_out"`
	OpeningsWaited   int64   `json:"openings_waited"`
	// OpeningsWaitedWhileFree is defined in the package comment.
	OpeningsWaitedWhileFree int64   `json:"openings_waited_while_free"`
	OpeningP99Ms            float64 `json:"opening_p99_ms"`

	HopsMean             float64 `json:"hops_mean"`
	HopsP99              int64   `json:"hops_p99"`
	ControlBytesPerNodeS float64 `json:"control_bytes_per_node_s"`
	// MaxPropagationMs is the longest time from the acceptance of a revision until a
	// node applied it. Nodes that started after the acceptance are left out.
	MaxPropagationMs int64 `json:"in_force_ms_max"`
	// RevisionsReverted counts changes to an older revision, on a node or a control
	// replica. It also counts accepted changes that are missing from the final state.
	RevisionsReverted int64 `json:"reverted"`

	// The following figures are set by control scenarios only. NodesBehind counts
	// nodes that have not applied the last revision at the end of the run.
	ChangesProposed        int64 `json:"changes_proposed,omitempty"`
	ChangesAccepted        int64 `json:"changes_accepted,omitempty"`
	ChangesWithoutResponse int64 `json:"changes_unanswered,omitempty"`
	NodesBehind            int64 `json:"nodes_behind,omitempty"`

	// Drops counts dropped packets and messages by the reason of the drop.
	Drops map[string]int64 `json:"drops,omitempty"`
}

// imbalanceTracker computes the time-weighted mean imbalance of one service.
// Imbalance is the excess of the busiest upstream over the mean, relative to the
// mean.
type imbalanceTracker struct {
	updatedAt   time.Time
	weightedSum float64
	seconds     float64
}

// accumulate adds the time since the last update. occupiedSlots contains the slots
// that each eligible upstream had occupied during that time.
func (t *imbalanceTracker) accumulate(now time.Time, occupiedSlots []int) {
	elapsed := now.Sub(t.updatedAt).Seconds()
	t.updatedAt = now
	total, busiest := 0, 0
	for _, occupied := range occupiedSlots {
		total += occupied
		busiest = max(busiest, occupied)
	}
	if total == 0 || len(occupiedSlots) == 0 || elapsed <= 0 {
		return
	}
	mean := float64(total) / float64(len(occupiedSlots))
	t.weightedSum += (float64(busiest) - mean) / mean * elapsed
	t.seconds += elapsed
}

func (t *imbalanceTracker) timeAverage() float64 {
	if t.seconds == 0 {
		return 0
	}
	return roundToFourDecimals(t.weightedSum / t.seconds)
}

// roundToFourDecimals limits the precision of figures, so that outputs stay
// readable.
func roundToFourDecimals(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// histograms contains the distributions that a run records.
type histograms struct {
	hops          *hdrhistogram.Histogram
	openingMicros *hdrhistogram.Histogram
}

func newHistograms() histograms {
	const maxHops, maxOpeningUs = 64, 60_000_000
	return histograms{hops: hdrhistogram.New(1, maxHops, 2), openingMicros: hdrhistogram.New(1, maxOpeningUs, 2)}
}

func (h *histograms) record(histogram *hdrhistogram.Histogram, value int64) {
	// Values above the range are recorded as its highest value.
	_ = histogram.RecordValue(min(value, histogram.HighestTrackableValue()))
}
