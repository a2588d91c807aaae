package admission

import (
	"math"
	"time"
)

// rateMemory is the time constant of a decaying rate. A burst counts within a second, and
// what was reserved for it is given back as fast.
const rateMemory = time.Second

// decayingRate is the rate of events in the recent past. An event loses its weight
// exponentially.
type decayingRate struct {
	weight float64
	at     time.Time
}

func (r *decayingRate) count(now time.Time) {
	r.weight, r.at = r.decayed(now)+1, now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(rateMemory))
}

// perSecond returns the number of events per second.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateMemory.Seconds()
}
