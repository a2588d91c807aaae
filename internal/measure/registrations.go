package measure

import (
	"cmp"
	"slices"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
)

// sortRegistrations sorts the flows of the Register and Unregister messages that
// go to the same address. The agent builds these messages from maps, whose order
// is random. Without sorting, a lost message would affect different flows in runs
// with the same seed.
func sortRegistrations(actions []agent.Action) {
	if !slices.ContainsFunc(actions, func(a agent.Action) bool {
		return a.Message != nil && (a.Message.Register != nil || a.Message.Unregister != nil)
	}) {
		return
	}
	recordsByAgent := map[string][]peer.FlowRecord{}
	endedByAgent := map[string][]flow.Key{}
	for i := range actions {
		if message := actions[i].Message; message != nil && message.Register != nil {
			recordsByAgent[actions[i].To.String()] = append(recordsByAgent[actions[i].To.String()], message.Register.Flows...)
		} else if message != nil && message.Unregister != nil {
			endedByAgent[actions[i].To.String()] = append(endedByAgent[actions[i].To.String()], message.Unregister.Flows...)
		}
	}
	for _, records := range recordsByAgent {
		slices.SortFunc(records, func(a, b peer.FlowRecord) int { return compareKeys(a.Key, b.Key) })
	}
	for _, keys := range endedByAgent {
		slices.SortFunc(keys, compareKeys)
	}
	for i := range actions {
		to := actions[i].To.String()
		if message := actions[i].Message; message != nil && message.Register != nil {
			n := len(message.Register.Flows)
			message.Register.Flows, recordsByAgent[to] = recordsByAgent[to][:n:n], recordsByAgent[to][n:]
		} else if message != nil && message.Unregister != nil {
			n := len(message.Unregister.Flows)
			message.Unregister.Flows, endedByAgent[to] = endedByAgent[to][:n:n], endedByAgent[to][n:]
		}
	}
}

func compareKeys(a, b flow.Key) int {
	return cmp.Or(a.Caller.Compare(b.Caller), a.Virtual.Compare(b.Virtual), cmp.Compare(a.Protocol, b.Protocol))
}
