package slopes

import (
	"encoding/json"
	"math/rand/v2"

	"bramleyhold.example/bramleyhold/internal/fanout"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
)

const (
	ruleApplyRuns       = 50
	importApplyRuns     = 3
	setMembersRuns      = 20
	nanosPerMillisecond = 1e6
)

// measureIntent measures the cost of applying a change on a node. It also measures
// the size of a snapshot and the time to decode it.
func measureIntent(w *rowWriter) error {
	state := designState()
	ruleChange := intent.Change{Kind: intent.KindTraffic, BaseRevision: state.Revision, OperationID: "rule", Traffic: &intent.TrafficRule{Service: serviceName(0)}}
	importChange := intent.Change{Kind: intent.KindInventory, BaseRevision: state.Revision, OperationID: "again", Inventory: designInventory()}
	vmCount := len(state.VMs)
	figures := []figure{
		{"intent.apply_rule", fastestNanos(ruleApplyRuns, func() { applyRepeatedly(ruleApplyRuns, state, ruleChange) }) / nanosPerMillisecond, "ms"},
		{"intent.apply_import", fastestNanos(importApplyRuns, func() { applyRepeatedly(importApplyRuns, state, importChange) }) / nanosPerMillisecond, "ms"},
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return err
	}
	decodeNanos := fastestNanos(1, func() {
		var decoded intent.State
		err = json.Unmarshal(encoded, &decoded)
	})
	if err != nil {
		return err
	}
	figures = append(figures, figure{"intent.snapshot_json", float64(len(encoded)) / 1e6, "MB"}, figure{"intent.snapshot_decode", decodeNanos / nanosPerMillisecond, "ms"})
	for _, f := range figures {
		if err := w.writeRow(f.name, vmCount, f.value, f.unit); err != nil {
			return err
		}
	}
	return nil
}

func applyRepeatedly(times int, state *intent.State, change intent.Change) {
	for range times {
		intent.Apply(state, change)
	}
}

// measureFanoutNode measures the processor time of one fan-out node that forwards
// to other nodes, with all members of the design fleet.
func measureFanoutNode(w *rowWriter) error {
	state := designState()
	members := designMemberRecords(state)
	node := fanout.New(fanout.Config{Self: members[0].VM, Zone: members[0].Zone, Rand: rand.New(rand.NewPCG(w.seed, 1))}, state)
	now := simfleet.StartTime
	setMembersNanos := fastestNanos(setMembersRuns, func() {
		for range setMembersRuns {
			node.SetMembers(now, members, false)
		}
	})
	tickNanos := fastestNanos(tickRuns, func() {
		for range tickRuns {
			now = now.Add(fanout.TickInterval)
			node.Tick(now)
		}
	})
	figures := []figure{
		{"fanout.set_members", setMembersNanos / nanosPerMillisecond, "ms"},
		{"fanout.tick", tickNanos, "ns"},
	}
	for _, f := range figures {
		if err := w.writeRow(f.name, len(members), f.value, f.unit); err != nil {
			return err
		}
	}
	return nil
}
