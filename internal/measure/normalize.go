package measure

import (
	"cmp"
	"slices"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
)

// normalize puts the flows of registration messages into a fixed order. The
// agent walks maps to build them, and a lost message must concern the same
// flows in every run with the same seed.
func normalize(list []agent.Action) {
	if !slices.ContainsFunc(list, func(a agent.Action) bool {
		return a.Message != nil && (a.Message.Register != nil || a.Message.Unregister != nil)
	}) {
		return
	}
	registered := map[string][]peer.FlowRecord{}
	ended := map[string][]flow.Key{}
	for i := range list {
		if m := list[i].Message; m != nil && m.Register != nil {
			registered[list[i].To.String()] = append(registered[list[i].To.String()], m.Register.Flows...)
		} else if m != nil && m.Unregister != nil {
			ended[list[i].To.String()] = append(ended[list[i].To.String()], m.Unregister.Flows...)
		}
	}
	for _, records := range registered {
		slices.SortFunc(records, func(a, b peer.FlowRecord) int { return compareKeys(a.Key, b.Key) })
	}
	for _, keys := range ended {
		slices.SortFunc(keys, compareKeys)
	}
	for i := range list {
		to := list[i].To.String()
		if m := list[i].Message; m != nil && m.Register != nil {
			n := len(m.Register.Flows)
			m.Register.Flows, registered[to] = registered[to][:n:n], registered[to][n:]
		} else if m != nil && m.Unregister != nil {
			n := len(m.Unregister.Flows)
			m.Unregister.Flows, ended[to] = ended[to][:n:n], ended[to][n:]
		}
	}
}

func compareKeys(a, b flow.Key) int {
	return cmp.Or(a.Caller.Compare(b.Caller), a.Virtual.Compare(b.Virtual), cmp.Compare(a.Protocol, b.Protocol))
}
