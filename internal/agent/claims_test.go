package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func claimSetup() testSetup {
	s := tcpSetup()
	s.nodes, s.slots, s.protocol, s.contract.Idempotent = 4, 20, service.UDP, false
	return s
}

// copyTo sends the opening of a caller straight to a member, as a placer with
// another view would.
func (c *caller) copyTo(n *testNode) {
	p := heldPacket{m: c.meta(0, 50)}
	p.h.Service, p.h.Origin, p.h.Flags = 1, c.x.origin(), frame.FlagOpening|frame.FlagPlaced
	c.x.frame(n, p)
}

// flap makes two nodes see a member as failed, and again as ready, up to 5 s
// before the others do.
func (x *exchange) flap(round, member int) {
	switch round {
	case 2:
		x.status(member, view.Failed)
		x.spread(x.node(0), x.node(1))
	case 7:
		x.status(member, view.Ready)
		x.spread(x.node(2), x.node(3))
	case 5, 10:
		x.spread()
	}
}

// Guards against an opening of a non-idempotent service that runs twice: copies
// that reach every member, with claims lost, repeated, late and out of order,
// and for odd seeds with views that differ in who is home.
func TestClaimRunsOnce(t *testing.T) {
	for seed := range uint64(5) {
		x := newExchange(t, claimSetup())
		sound := x.fault
		for round := range 12 {
			if seed%2 == 1 {
				x.flap(round, int(seed)%4)
			}
			c := x.caller(round)
			x.fault = lossy(seed*100+uint64(round), 0.3, 0.5, 300*time.Millisecond)
			for range 3 {
				for _, n := range x.nodes {
					c.copyTo(n)
				}
				x.run(150 * time.Millisecond)
			}
			x.fault = sound
			x.run(claimTimeout + 200*time.Millisecond)
			require.LessOrEqual(t, len(x.ranAt[c.key]), 1, "seed %d, round %d", seed, round)
		}
		require.GreaterOrEqual(t, len(x.ranAt), 3, "some openings run")
		require.Empty(t, x.refused, "a copy must not be refused as not run")
		require.LessOrEqual(t, x.busy(), int64(12), "a slot for each caller")
		for _, n := range x.nodes {
			require.Empty(t, n.held)
		}
	}
}

// Guards against a home that grants what an earlier home, or its own earlier
// life, may have granted, and against an opening held for longer than the
// claim timeout.
func TestClaimDenied(t *testing.T) {
	for _, test := range []struct {
		name   string
		set    func(x *exchange, home int)
		reason Reason
		runs   int
	}{
		{"settled", func(*exchange, int) {}, "", 1},
		{"home restarted", func(x *exchange, home int) { x.restart(home, false); x.spread() }, ClaimDenied, 0},
		{"home is new", func(x *exchange, home int) {
			x.node(home).down = true
			x.status(home, view.Failed)
			x.spread()
		}, ClaimDenied, 0},
		{"home of others changed", func(x *exchange, home int) { x.status((home+1)%4, view.Leaving); x.spread() }, "", 1},
		{"home does not answer", func(x *exchange, home int) { x.node(home).down = true }, ClaimTimeout, 0},
		{"home has an older view", func(x *exchange, home int) {
			others := append([]*testNode{}, x.nodes[:home]...)
			x.spread(append(others, x.nodes[home+1:]...)...)
		}, ClaimDenied, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, claimSetup())
			c := x.caller(1)
			home := x.svc().Home(testHasher.Hash(c.key))
			test.set(x, home)
			c.copyTo(x.node((home + 2) % 4))
			x.run(claimTimeout + 100*time.Millisecond)
			require.Len(t, x.executed, test.runs)
			require.EqualValues(t, test.runs, x.busy(), "the slot is given back")
			require.Empty(t, x.refused)
			if test.reason != "" {
				require.Equal(t, 1, x.drops[test.reason])
			}
		})
	}
}

// Guards against one opening being granted to two holders, whatever the order
// in which claims, releases and their copies arrive, within the lifetime of a
// claim.
func TestClaimsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newClaims(8)
		key := flow.Key{Caller: testVirtual, Virtual: testVirtual, Protocol: 17}
		type life struct {
			holder      vm.ID
			incarnation vm.Incarnation
		}
		var sent []peer.Claim
		// ran holds the openings for which some life was told to run.
		ran := map[uint32]life{}
		released := map[life]map[uint64]bool{}
		number := map[life]uint64{}
		nanos := int64(1)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				l := life{vm.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")), vm.Incarnation(rapid.IntRange(1, 2).Draw(t, "life"))}
				number[l]++
				sent = append(sent, peer.Claim{Key: key, Holder: l.holder, Incarnation: l.incarnation, Number: number[l], Opening: rapid.Uint32Range(1, 2).Draw(t, "opening")})
			},
			"arrive": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				m := rapid.SampledFrom(sent).Draw(t, "message")
				l := life{m.Holder, m.Incarnation}
				if !cl.grant(nanos, &m).Granted || released[l][m.Number] {
					return
				}
				if before, ok := ran[m.Opening]; ok && before != l {
					t.Fatalf("opening %d granted to %v and %v", m.Opening, before, l)
				}
				ran[m.Opening] = l
			},
			"give back": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				m := rapid.SampledFrom(sent).Draw(t, "message")
				l := life{m.Holder, m.Incarnation}
				if ran[m.Opening] == l {
					t.Skip() // A holder that was told to run does not give back.
				}
				if released[l] == nil {
					released[l] = map[uint64]bool{}
				}
				released[l][m.Number] = true
				m.Release = true
				cl.release(&m)
			},
			"time": func(t *rapid.T) {
				nanos += int64(rapid.IntRange(0, 1000).Draw(t, "ms")) * 1_000_000 / 100
				cl.expire(nanos)
			},
		})
	})
}
