package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured.
type Result struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     Policy `json:"policy"`
	Seed       uint64 `json:"seed"`

	EstablishedFlows int64 `json:"established_flows"`
	BrokenFlows      int64 `json:"broken_flows"`
	BrokenReset      int64 `json:"broken_reset"`
	BrokenStalled    int64 `json:"broken_stalled"`
	// LostWithUpstream counts flows whose upstream was lost; they are not in
	// BrokenFlows.
	LostWithUpstream int64 `json:"lost_with_upstream"`
	WrongService     int64 `json:"wrong_service"`
	WrongAnswer      int64 `json:"wrong_answer"`
	RunTwice         int64 `json:"run_twice"`
	RefusedButRan    int64 `json:"refused_but_ran"`
	WorkAfterLeave   int64 `json:"work_after_leave"`

	Imbalance              float64 `json:"imbalance"`
	Openings               int64   `json:"openings"`
	OpeningsRefused        int64   `json:"openings_refused"`
	OpeningsTimedOut       int64   `json:"openings_timed_out"`
	OpeningsWaited         int64   `json:"openings_waited"`
	OpeningsWaitedWhenFree int64   `json:"openings_waited_while_free"`
	OpeningP99Ms           float64 `json:"opening_p99_ms"`

	HopsMean             float64 `json:"hops_mean"`
	HopsP99              int64   `json:"hops_p99"`
	ControlBytesPerNodeS float64 `json:"control_bytes_per_node_s"`
	InForceMsMax         int64   `json:"in_force_ms_max"`
	Reverted             int64   `json:"reverted"`

	// The changes of scenarios that concern control only. NodesBehind counts
	// nodes that do not have the last revision at the end.
	ChangesProposed   int64 `json:"changes_proposed,omitempty"`
	ChangesAccepted   int64 `json:"changes_accepted,omitempty"`
	ChangesUnanswered int64 `json:"changes_unanswered,omitempty"`
	NodesBehind       int64 `json:"nodes_behind,omitempty"`

	// Drops counts dropped packets by the reason of the decision.
	Drops map[string]int64 `json:"drops,omitempty"`
}

// usage integrates the imbalance of one service over time.
type usage struct {
	last     time.Time
	weighted float64
	seconds  float64
}

// advance adds the time since the last change with the busy slots that were
// valid during it.
func (u *usage) advance(now time.Time, busy []int) {
	elapsed := now.Sub(u.last).Seconds()
	u.last = now
	total, most := 0, 0
	for _, b := range busy {
		total += b
		most = max(most, b)
	}
	if total == 0 || len(busy) == 0 || elapsed <= 0 {
		return
	}
	mean := float64(total) / float64(len(busy))
	u.weighted += (float64(most) - mean) / mean * elapsed
	u.seconds += elapsed
}

func (u *usage) imbalance() float64 {
	if u.seconds == 0 {
		return 0
	}
	return round(u.weighted / u.seconds)
}

// round keeps four decimals, so that outputs stay readable.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// samples are the distributions of a run.
type samples struct {
	hops    *hdrhistogram.Histogram
	opening *hdrhistogram.Histogram
}

func newSamples() samples {
	const maxHops, maxOpeningUs = 64, 60_000_000
	return samples{hops: hdrhistogram.New(1, maxHops, 2), opening: hdrhistogram.New(1, maxOpeningUs, 2)}
}

func (s *samples) record(h *hdrhistogram.Histogram, value int64) {
	// Values above the range are recorded as its greatest value.
	_ = h.RecordValue(min(value, h.HighestTrackableValue()))
}
