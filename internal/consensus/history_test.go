package consensus_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	historySeeds   = 120
	historyTime    = 12 * time.Second
	historyClients = 4
	// answerTimeout is after how long a client sends a request again that a
	// leader has taken; refusedPause is the pause after a refusal.
	answerTimeout = 400 * time.Millisecond
	refusedPause  = 2 * tick
)

type input struct {
	read bool
	base uint64
}

type output struct {
	accepted bool
	revision uint64
}

// revisionModel is the intent reduced to its revision: a change is accepted
// exactly when its base is the current revision.
func revisionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			revision, request, answer := state.(uint64), in.(input), out.(output)
			switch {
			case request.read:
				return answer.revision == revision, revision
			case answer.accepted:
				return request.base == revision && answer.revision == revision+1, revision + 1
			}
			return request.base != revision && answer.revision == revision, revision
		},
	}
}

// client sends one request after the other and sends a request again, under
// the same operation id and to any replica, until it is answered.
type client struct {
	c        *cluster
	id       int
	count    int
	busy     bool
	started  time.Time
	again    time.Time
	request  input
	change   intent.Change
	revision uint64
	history  *[]porcupine.Operation
}

func (l *client) step() {
	if !l.busy {
		if l.c.random.IntN(4) == 0 {
			l.begin()
		}
		return
	}
	if !l.c.now.Before(l.again) {
		l.send()
	}
}

func (l *client) begin() {
	l.count++
	l.busy, l.started = true, l.c.now
	l.request = input{read: l.c.random.IntN(2) == 0, base: l.revision}
	l.change = change(fmt.Sprintf("client%d-%d", l.id, l.count), l.revision)
	l.send()
}

func (l *client) send() {
	l.again = l.c.now.Add(refusedPause)
	m := l.c.members[l.c.random.IntN(len(l.c.members))]
	if m.core == nil {
		return
	}
	count := l.count
	if !l.request.read {
		if l.c.propose(m, l.change, func(r intent.Result) {
			l.finish(count, output{accepted: r.Outcome == intent.Accepted, revision: r.Revision})
		}) {
			l.again = l.c.now.Add(answerTimeout)
		}
		return
	}
	l.c.reads++
	if m.core.Read(l.c.reads) != nil {
		return
	}
	l.again = l.c.now.Add(answerTimeout)
	m.reading[l.c.reads] = func(ok bool, revision uint64) {
		if ok {
			l.finish(count, output{revision: revision})
		}
	}
	l.c.process(m)
}

func (l *client) finish(count int, o output) {
	if !l.busy || count != l.count {
		return
	}
	l.busy, l.revision = false, o.revision
	l.record(o, l.c.now.UnixNano())
}

func (l *client) record(o output, end int64) {
	*l.history = append(*l.history, porcupine.Operation{
		ClientId: l.id, Input: l.request, Call: l.started.UnixNano(), Output: o, Return: end,
	})
}

// disturb crashes, restarts, partitions and wipes replicas, cuts links in one
// direction and moves the lead. At most one disk is
// lost between two full repairs, which a majority survives.
func (c *cluster) disturb(repaired bool) {
	m := c.members[c.random.IntN(len(c.members))]
	switch c.random.IntN(60) {
	case 0:
		c.crash(m)
	case 1, 2, 3:
		if m.core == nil {
			c.start(m)
		}
	case 4:
		c.cut[m.id] = true
	case 5, 6, 7:
		delete(c.cut, m.id)
		clear(c.cutLinks)
	case 9:
		c.cutLinks[[2]vm.ID{m.id, c.members[c.random.IntN(len(c.members))].id}] = true
	case 10:
		if m.core != nil && m.core.TransferLeadership(c.now) {
			c.process(m)
		}
	case 8:
		if repaired && c.random.IntN(3) == 0 {
			c.wipe(m)
			c.start(m)
		}
	}
}

// repaired reports whether all replicas are up, reachable and voters under
// their current identity.
func (c *cluster) repaired() bool {
	for _, m := range c.members {
		if m.core == nil || c.cut[m.id] || !contains(m.core.Configuration().Voters, m.core.Self()) {
			return false
		}
	}
	return true
}

// heal ends all faults.
func (c *cluster) heal() {
	clear(c.cut)
	clear(c.cutLinks)
	for _, m := range c.members {
		if m.core == nil {
			c.start(m)
		}
	}
}

func runHistory(t *testing.T, seed uint64) {
	c := newCluster(t, 3+2*int(seed%2), seed)
	c.loss, c.dup = 0.05, 0.1
	history := []porcupine.Operation{}
	clients := []*client{}
	for i := range historyClients {
		clients = append(clients, &client{c: c, id: i, history: &history})
	}
	// The first start needs all replicas, so the faults begin after it.
	c.leader()
	for range int(historyTime / tick) {
		c.step()
		c.disturb(c.repaired())
		for _, l := range clients {
			l.step()
		}
	}
	c.heal()
	c.until("an answer to every request after all faults have ended", func() bool {
		open := false
		for _, l := range clients {
			if l.busy {
				open = true
				l.step()
			}
		}
		return !open
	})
	c.until("repair of all replicas", c.repaired)
	result := porcupine.CheckOperationsTimeout(revisionModel(), history, 20*time.Second)
	require.Equal(t, porcupine.Ok, result, "history of %d requests", len(history))
	requireOneWinner(t, history)
}

// requireOneWinner checks the race of operators directly: at most one change
// per base revision is accepted.
func requireOneWinner(t *testing.T, history []porcupine.Operation) {
	winners := map[uint64]int{}
	for _, o := range history {
		if answer := o.Output.(output); answer.accepted {
			base := o.Input.(input).base
			winners[base]++
			require.Equal(t, 1, winners[base], "base revision %d has two winners", base)
		}
	}
}

// Guards against answers that no single order of requests explains: stale
// reads, two winners for one base revision, changes applied twice on a resend,
// and lost changes, while replicas crash, are partitioned and lose their disk.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
}
