package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// gaugeUpdateInterval is how often the gauges of an agent are updated.
const gaugeUpdateInterval = time.Second

// runGaugeUpdates publishes slots, queue length and flows of the upstream until the
// context ends.
func (a *Agent) runGaugeUpdates(ctx context.Context) error {
	ticker := time.NewTicker(gaugeUpdateInterval)
	defer ticker.Stop()
	for {
		a.updateGauges()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) updateGauges() {
	core := a.core()
	established, halfOpen := core.FlowCounts()
	load := core.Load()
	for name, value := range map[string]int{
		"upstream.slots": load.Slots, "upstream.busy": load.Busy, "upstream.queued": load.Queued,
		"upstream.max_flows": load.MaxFlows, "upstream.established": established, "upstream.half_open": halfOpen,
	} {
		metrics.GetOrRegisterGauge(name, a.cfg.Metrics).Update(int64(value))
	}
}
