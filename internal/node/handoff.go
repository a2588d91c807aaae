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

// advanceStartup imports the flows of the previous incarnation once there is a view
// with the service, and announces whether the agent is ready. It first replaces the
// core if a greater incarnation has to be announced.
func (a *Agent) advanceStartup(now time.Time) {
	if next := a.membership.pendingIncarnation(); next != 0 {
		a.replaceCore(now, next)
	}
	if a.latestView().ServiceByName(a.cfg.Service) == nil {
		return
	}
	if !a.handoffLoaded {
		a.handoffLoaded = true
		if err := a.loadHandoff(now); err != nil {
			a.cfg.Log.WithError(err).Error("flows of the previous incarnation could not be loaded from the data folder")
		}
	}
	if !a.core().Draining() {
		a.announceReadiness()
	}
}

// warmUpTolerance is the smallest change of the end of the warm-up that is
// announced. The upstream reports the remaining time, so each report shifts the
// computed end slightly.
const warmUpTolerance = 2 * time.Second

// announceReadiness announces the agent as ready when its flows are recovered and
// its upstream accepts openings. Otherwise it announces the agent as starting.
func (a *Agent) announceReadiness() {
	ready, warmUpUntil := !a.core().Recovering() && a.upstreamHealth.acceptsOpenings(), a.upstreamHealth.warmUpUntil()
	if ready == a.announcedReady && (!ready || warmUpUntil.Sub(a.announcedWarmUpUntil).Abs() < warmUpTolerance) {
		return
	}
	a.announcedReady, a.announcedWarmUpUntil = ready, warmUpUntil
	status := view.Starting
	if ready {
		status = view.Ready
	}
	established, halfOpen := a.core().FlowCounts()
	a.cfg.Log.WithFields(logrus.Fields{"status": string(status), "flows": established, "half_open": halfOpen}).Info("status announced")
	a.membership.announceUpstreamStatus(status, warmUpUntil)
}

// replaceCore replaces the core by one with a greater incarnation, which imports the
// flows of the current core as after a planned restart. It is needed when peers have
// stored a later incarnation of this VM and therefore drop messages of the current
// one.
func (a *Agent) replaceCore(now time.Time, incarnation vm.Incarnation) {
	previous, replacement := a.core(), newAgentCore(&a.agentConfig, incarnation)
	current := a.latestView()
	if current.ServiceByName(a.cfg.Service) != nil {
		replacement.SetView(current)
		if _, err := replacement.Import(now, previous.Export()); err != nil {
			a.cfg.Log.WithError(err).Error("flows could not be imported into the greater incarnation")
		}
	}
	a.currentCore.Store(replacement)
	a.mu.Lock()
	clear(a.queuedOpenings)
	a.mu.Unlock()
	if previous.Draining() {
		replacement.Drain(now)
		a.membership.announceIncarnation(incarnation, view.Leaving)
	} else {
		a.announcedReady = false
		a.membership.announceIncarnation(incarnation, view.Starting)
	}
	a.requestRebuild()
}

// incarnationAfterHandoff returns an incarnation that is greater than the one that
// wrote its flows to the data folder, even if the clock was set back since then.
func incarnationAfterHandoff(cfg *AgentConfig) vm.Incarnation {
	if cfg.DataFolder == "" {
		return cfg.Incarnation
	}
	content, err := os.ReadFile(filepath.Join(cfg.DataFolder, handoffFileName))
	if err != nil {
		return cfg.Incarnation
	}
	handoff, err := agent.DecodeHandoff(content)
	if err != nil || handoff.VM != cfg.VM {
		return cfg.Incarnation
	}
	return max(cfg.Incarnation, handoff.Incarnation+1)
}

// saveHandoff writes the flows to the data folder for the next incarnation.
func (a *Agent) saveHandoff() error {
	if a.cfg.DataFolder == "" {
		return nil
	}
	encoded, err := agent.EncodeHandoff(a.core().Export())
	if err != nil {
		return fmt.Errorf("encode flows: %w", err)
	}
	return replaceDataFile(a.cfg.DataFolder, handoffFileName, encoded)
}

// loadHandoff imports the flows that the previous incarnation has saved. The file is
// removed before the import, so that a restart after a later crash does not import
// flows that have ended.
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
