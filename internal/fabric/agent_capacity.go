package fabric

import (
	"time"

	"github.com/sirupsen/logrus"
)

// limitLogInterval is the least time between two log lines about the learned limit.
const limitLogInterval = time.Second

// publishCapacity updates the metrics of the learned capacity and logs a changed limit. It
// is called with the lock held.
func (a *Agent) publishCapacity(now time.Time) {
	learned, learns := a.core.Capacity(now)
	if !learns {
		return
	}
	a.setGauge("capacity.limit", learned.Limit)
	a.setGauge("capacity.answer_us", int(learned.Answer.Microseconds()))
	a.setGauge("capacity.health_permille", int(learned.Health*1000))
	if a.loggedLimit == 0 {
		a.loggedLimit = learned.Limit
	}
	if learned.Limit == a.loggedLimit || now.Sub(a.limitLoggedAt) < limitLogInterval {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"limit": learned.Limit, "previous": a.loggedLimit, "slots": learned.Slots,
		"answer_ms": float64(learned.Answer.Microseconds()) / 1000, "health": learned.Health,
		"samples": learned.Samples, "sample_age_ms": learned.SampleAge.Milliseconds(),
	}).Info("learned limit changed")
	a.loggedLimit, a.limitLoggedAt = learned.Limit, now
}
