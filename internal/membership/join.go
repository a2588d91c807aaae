package membership

import (
	"net/netip"
	"slices"
	"time"
)

// joiner is the state of the join of one node and of its answers to others.
type joiner struct {
	done     bool
	nextAt   time.Time
	backoff  time.Duration
	welcomes allowance
}

// randomSeed returns a seed other than the own address.
func (n *Node) randomSeed() (netip.AddrPort, bool) {
	if len(n.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	start := n.rng.IntN(len(n.seeds))
	for i := range n.seeds {
		if s := n.seeds[(start+i)%len(n.seeds)]; s != n.self.member.Address {
			return s, true
		}
	}
	return netip.AddrPort{}, false
}

// tickJoin announces the own process to a seed until one has answered. The
// first attempt is spread over joinSpread, later ones back off with jitter, so
// that a zone that starts at once does not overload the seeds.
func (n *Node) tickJoin(now time.Time, out *Output) {
	if n.joining.done || now.Before(n.joining.nextAt) {
		return
	}
	n.joining.backoff = min(max(2*n.joining.backoff, joinSpread), maxJoinBackoff)
	n.joining.nextAt = now.Add(n.joining.backoff/2 + n.jitter(n.joining.backoff))
	if to, ok := n.randomSeed(); ok {
		n.emit(out, to, &message{Kind: kindJoin, Stamps: n.stamps(), Records: wireOf(n.self)})
	}
}

// answerJoin names members of the joining process's zone and the delegates of
// the other zones. The rest comes by repair from members of its zone.
func (n *Node) answerJoin(now time.Time, from netip.AddrPort, m *message, out *Output) {
	joining := n.records[m.From]
	if joining == nil || !n.joining.welcomes.refill(now) {
		return
	}
	n.joining.welcomes.spend(1)
	usable := func(r *record) bool { return r != joining && r != n.self && r.verdict == alive }
	list := []*record{n.self}
	list = n.pick(list, joining.zone.live, welcomeRecords-len(n.zones), usable)
	for _, z := range n.zones {
		for _, d := range n.delegatesOf(z) {
			if d != joining && !slices.Contains(list, d) {
				list = append(list, d)
			}
		}
	}
	// A verdict from before a partition is told first, so that it is refuted.
	if joining.verdict != alive {
		list[0] = joining
	}
	answer := &message{Kind: kindWelcome, Stamps: n.stamps()}
	answer.Records, _ = takeWire(list, recordBytes-stampBytes*len(answer.Stamps))
	n.emit(out, from, answer)
}

func (n *Node) takeWelcome(now time.Time, _ *message) {
	n.joining.done = true
	n.repair.soon(now)
}
