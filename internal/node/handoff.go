package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const handoffFileName = "flows.cbor"

// advanceStart imports the flows of the earlier life once there is a view, and
// announces whether the agent is ready.
func (a *Agent) advanceStart(now time.Time) {
	if next := a.liveness.pendingIncarnation(); next != 0 {
		a.renew(now, next)
	}
	if a.latest().ServiceByName(a.cfg.Service) == nil {
		return
	}
	if !a.imported {
		a.imported = true
		if err := a.loadHandoff(now); err != nil {
			a.cfg.Log.WithError(err).Error("flows of the earlier life could not be read from the data folder")
		}
	}
	if !a.core().Draining() {
		a.announceReadiness()
	}
}

// coldTolerance is the change of the end of a slow start that is announced. The
// upstream reports the remaining time, so that each report moves it a little.
const coldTolerance = 2 * time.Second

// announceReadiness announces the agent as ready when its flows are recovered
// and its upstream may get new work, and as starting when that ends.
func (a *Agent) announceReadiness() {
	ready, cold := !a.core().Recovering() && a.upstream.takesWork(), a.upstream.coldUntil()
	if ready == a.ready && (!ready || cold.Sub(a.cold).Abs() < coldTolerance) {
		return
	}
	a.ready, a.cold = ready, cold
	status := view.Starting
	if ready {
		status = view.Ready
	}
	established, halfOpen := a.core().Flows()
	a.cfg.Log.WithFields(logrus.Fields{"status": string(status), "flows": established, "half_open": halfOpen}).Info("status announced")
	a.liveness.announceUpstream(status, cold)
}

// renew starts a life with a greater incarnation, which takes over the flows of
// the current one as after a planned restart. Peers drop what the current one
// sends, because they know a later incarnation.
func (a *Agent) renew(now time.Time, incarnation vm.Incarnation) {
	former, next := a.core(), newLife(&a.config, incarnation)
	v := a.latest()
	if v.ServiceByName(a.cfg.Service) != nil {
		next.SetView(v)
		if _, err := next.Import(now, former.Export()); err != nil {
			a.cfg.Log.WithError(err).Error("flows could not be taken over by the greater incarnation")
		}
	}
	a.life.Store(next)
	a.mu.Lock()
	clear(a.held)
	a.mu.Unlock()
	if former.Draining() {
		next.Drain(now)
		a.liveness.renew(incarnation, view.Leaving)
	} else {
		a.ready = false
		a.liveness.renew(incarnation, view.Starting)
	}
	a.requestRebuild()
}

// afterHandoff returns an incarnation that is greater than that of the life that
// wrote its flows to the data folder, also if the clock went back since then.
func afterHandoff(cfg *AgentConfig) vm.Incarnation {
	if cfg.DataFolder == "" {
		return cfg.Incarnation
	}
	content, err := os.ReadFile(filepath.Join(cfg.DataFolder, handoffFileName))
	if err != nil {
		return cfg.Incarnation
	}
	earlier, err := agent.DecodeHandoff(content)
	if err != nil || earlier.VM != cfg.VM {
		return cfg.Incarnation
	}
	return max(cfg.Incarnation, earlier.Incarnation+1)
}

// saveHandoff writes the flows for the next life.
func (a *Agent) saveHandoff() error {
	if a.cfg.DataFolder == "" {
		return nil
	}
	content, err := agent.EncodeHandoff(a.core().Export())
	if err != nil {
		return fmt.Errorf("encode flows: %w", err)
	}
	return replaceFile(a.cfg.DataFolder, handoffFileName, content)
}

// loadHandoff takes up the flows of the earlier life. The file is removed
// first, so that a later crash does not bring back flows that have ended.
func (a *Agent) loadHandoff(now time.Time) error {
	if a.cfg.DataFolder == "" {
		return nil
	}
	path := filepath.Join(a.cfg.DataFolder, handoffFileName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read flows: %w", err)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("remove %s: %w", path, err)
	}
	handoff, err := agent.DecodeHandoff(content)
	if err != nil {
		return err
	}
	count, err := a.core().Import(now, handoff)
	if err != nil {
		return err
	}
	a.cfg.Events.Add(event.Event{At: now, Kind: event.Repaired, Object: string(a.cfg.VM), Reason: fmt.Sprintf("%d flows taken up from the data folder", count)})
	return nil
}
