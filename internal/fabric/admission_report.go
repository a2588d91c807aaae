package fabric

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/steering"
)

// admissionReportInterval is how often the admission by class is reported at most.
const admissionReportInterval = time.Second

// admissionReport tells an operator which classes get the room of an upstream.
type admissionReport struct {
	previous [admission.Levels]steering.AdmissionCounts
	nextAt   time.Time
}

// reportAdmissions updates the metrics of admission by class. It writes a log line if the
// room of the upstream did not suffice since the last one. It is called with the lock held.
func (a *Agent) reportAdmissions(now time.Time) {
	report := &a.admissions
	if now.Before(report.nextAt) {
		return
	}
	report.nextAt = now.Add(admissionReportInterval)
	status := a.core.AdmissionStatus(now)
	a.setGauge("admission.headroom", status.Headroom)
	scarce := false
	fields := logrus.Fields{
		"limit": status.Limit, "in_progress": status.InProgress, "headroom": status.Headroom, "service_ms": status.ServiceTime.Milliseconds(),
	}
	for level := range status.Counts {
		counts, previous := status.Counts[level], report.previous[level]
		if counts == previous {
			continue
		}
		name := fmt.Sprintf("priority%d.", level)
		if answered := counts.Answered - previous.Answered; answered > 0 {
			fields[name+"answered"] = answered
			fields[name+"answer_ms"] = (counts.AnswerTime - previous.AnswerTime).Milliseconds() / int64(answered)
		}
		for _, counted := range [...]struct {
			name   string
			delta  uint64
			scarce bool
		}{
			{"admitted", counts.Admitted - previous.Admitted, false},
			{"busy", counts.Busy - previous.Busy, false},
			{"overloaded", counts.Overloaded - previous.Overloaded, true},
			{"deferred", counts.Deferred - previous.Deferred, true},
			{"rejected", counts.Rejected - previous.Rejected, true},
		} {
			if counted.delta == 0 {
				continue
			}
			scarce = scarce || counted.scarce
			fields[name+counted.name] = counted.delta
			metrics.GetOrRegisterCounter("admission."+name+counted.name, a.Registry).Inc(int64(counted.delta))
		}
	}
	report.previous = status.Counts
	if scarce {
		a.Log.WithFields(fields).Info("room is scarce")
	}
}
