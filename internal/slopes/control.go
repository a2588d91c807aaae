package slopes

import (
	"encoding/json"
	"math/rand/v2"

	"bramleyhold.example/bramleyhold/internal/fanout"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
)

const (
	ruleRepeats   = 50
	importRepeats = 3
	memberRepeats = 20
	nanosPerMilli = 1e6
)

// measureIntent measures what a node does with an accepted revision.
func measureIntent(p *printer) error {
	state := designState()
	rule := intent.Change{Kind: intent.KindTraffic, BaseRevision: state.Revision, OperationID: "rule", Traffic: &intent.TrafficRule{Service: serviceName(0)}}
	inventory := intent.Change{Kind: intent.KindInventory, BaseRevision: state.Revision, OperationID: "again", Inventory: designInventory()}
	n := len(state.VMs)
	rows := []figure{
		{"intent.apply_rule", fastest(ruleRepeats, func() { applyTimes(ruleRepeats, state, rule) }) / nanosPerMilli, "ms"},
		{"intent.apply_import", fastest(importRepeats, func() { applyTimes(importRepeats, state, inventory) }) / nanosPerMilli, "ms"},
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return err
	}
	decode := fastest(1, func() {
		var s intent.State
		err = json.Unmarshal(encoded, &s)
	})
	if err != nil {
		return err
	}
	rows = append(rows, figure{"intent.snapshot_json", float64(len(encoded)) / 1e6, "MB"}, figure{"intent.snapshot_decode", decode / nanosPerMilli, "ms"})
	for _, r := range rows {
		if err := p.add(r.name, n, r.value, r.unit); err != nil {
			return err
		}
	}
	return nil
}

func applyTimes(times int, s *intent.State, c intent.Change) {
	for range times {
		intent.Apply(s, c)
	}
}

// measureFanoutNode measures one inner node of the tree in the whole fleet.
func measureFanoutNode(p *printer) error {
	state := designState()
	members := designFleet(state)
	node := fanout.New(fanout.Config{Self: members[0].VM, Zone: members[0].Zone, Rand: rand.New(rand.NewPCG(p.seed, 1))}, state)
	now := fleet.Epoch
	place := fastest(memberRepeats, func() {
		for range memberRepeats {
			node.SetMembers(now, members, false)
		}
	})
	tick := fastest(costTicks, func() {
		for range costTicks {
			now = now.Add(fanout.TickInterval)
			node.Tick(now)
		}
	})
	rows := []figure{
		{"fanout.set_members", place / nanosPerMilli, "ms"},
		{"fanout.tick", tick, "ns"},
	}
	for _, r := range rows {
		if err := p.add(r.name, len(members), r.value, r.unit); err != nil {
			return err
		}
	}
	return nil
}
