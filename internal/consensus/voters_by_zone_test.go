package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// zonePlan returns a plan for voters and learners, given by their numbers in each zone. All
// respond. The first voter leads.
func zonePlan(losses int, voters, learners []int) *voterPlan {
	p := &voterPlan{
		zoneRule: zoneRule{maxLosses: 1, zones: map[vm.ID]zone.ID{}, absent: map[ReplicaID]bool{}},
		target:   2*losses + 1, limit: 4*losses + 1, allRespond: true,
	}
	add := func(counts []int, kind string) (replicas []ReplicaID) {
		for i, count := range counts {
			for j := range count {
				r := ReplicaID{VM: vm.ID(fmt.Sprintf("%s%d-%c", kind, j, 'a'+i)), Incarnation: 1}
				p.zones[r.VM] = zone.ID{Region: "r", Name: fmt.Sprint(i)}
				replicas = append(replicas, r)
			}
		}
		return replicas
	}
	p.current = Configuration{Voters: add(voters, "v"), Learners: add(learners, "l")}
	p.self, p.eligible = p.current.Voters[0], p.current.Learners
	return p
}

// apply makes a configuration the current one. Its learners are eligible, and its voters
// respond, unless their zone is down.
func (p *voterPlan) apply(next Configuration, down string) {
	isDown := func(r ReplicaID) bool { return p.zoneOf(r).Name == down }
	isUp := func(r ReplicaID) bool { return !isDown(r) }
	p.current, p.eligible, p.unresponsive = next, slices.DeleteFunc(slices.Clone(next.Learners), isDown), slices.DeleteFunc(slices.Clone(next.Voters), isUp)
	p.pending, p.allRespond = p.eligible, len(p.unresponsive) == 0
	clear(p.absent)
	for _, r := range p.unresponsive {
		p.absent[r] = true
	}
}

// requireNoLowerTolerance fails the test if a loss that the current voters survive ends the
// majority of the next ones. The loss of a zone may do so only between the two promotions of
// a pair, and if the loss of another one does so already: below the target, and where the
// replicas that run cannot survive the loss of each zone.
func (p *voterPlan) requireNoLowerTolerance(t *testing.T, next Configuration) {
	losses := (p.target - 1) / 2
	borne := func(c Configuration) int {
		return min(losses, len(slices.DeleteFunc(slices.Clone(c.Voters), func(r ReplicaID) bool { return p.absent[r] }))-c.quorum())
	}
	require.GreaterOrEqual(t, borne(next), borne(p.current), "%v becomes %v", p.current, next)
	survives := func(c Configuration, lost string) bool {
		remaining := slices.DeleteFunc(slices.Clone(c.Voters), func(r ReplicaID) bool { return p.absent[r] || p.zoneOf(r).Name == lost })
		return len(remaining) >= c.quorum()
	}
	isLower := false
	for _, id := range p.zones {
		isLower = isLower || survives(p.current, id.Name) && !survives(next, id.Name)
	}
	grows := len(next.Voters) > len(p.current.Voters) && (len(next.Voters) <= p.target || !p.canSurvive())
	if !isLower || grows && p.shortfall(p.current.Voters) > 0 {
		return
	}
	require.Zero(t, p.shortfall(p.current.Voters), "%v becomes %v", p.current, next)
	require.Len(t, next.Voters, len(p.current.Voters)+1)
	require.Zero(t, len(next.Voters)%2, "%v becomes %v", p.current, next)
	second := *p
	second.apply(next, "")
	after, ok := second.next()
	require.True(t, ok, "%v becomes %v", p.current, next)
	require.Len(t, after.Voters, len(next.Voters)+1)
	require.True(t, p.shortfall(after.Voters) == 0 || len(next.Voters) < p.target, "%v becomes %v and then %v", p.current, next, after)
}

// canSurvive reports whether as many replicas as the target can survive the loss of a zone.
func (p *voterPlan) canSurvive() bool {
	perZone, usable := map[zone.ID]int{}, 0
	for _, r := range slices.Concat(p.current.Voters, p.eligible) {
		if id := p.zoneOf(r); !p.absent[r] && perZone[id] < (p.target-1)/2 {
			perZone[id]++
			usable++
		}
	}
	return usable >= p.target
}

// settle applies the plan until it changes nothing, with a zone down if one is named. No
// change may lower what the voters survive.
func (p *voterPlan) settle(t *testing.T, down string) {
	const maxChanges = 30
	started := p.current
	p.apply(p.current, down)
	for changes := 0; ; changes++ {
		next, ok := p.next()
		if !ok {
			return
		}
		require.Less(t, changes, maxChanges, "%v: no end", started)
		require.True(t, next.isVoter(p.self))
		p.requireNoLowerTolerance(t, next)
		p.apply(next, down)
	}
}

// requireZoneRuleReached applies the plan until it changes nothing, then again while each
// zone without the leader is down, and when it is back. The voters must then survive the
// loss of a zone if as many as the target can.
func requireZoneRuleReached(t *testing.T, losses int, voters, learners []int) {
	p := zonePlan(losses, voters, learners)
	if len(p.current.Voters) > p.limit {
		return // The leader adds none beyond the limit.
	}
	replicas, canSurvive := len(p.current.Voters)+len(p.current.Learners), p.canSurvive()
	requireReached := func() {
		if replicas >= p.target {
			require.GreaterOrEqual(t, len(p.current.Voters), p.target, "voters %v learners %v", voters, learners)
		}
		if canSurvive {
			require.Zero(t, p.shortfall(p.current.Voters), "voters %v learners %v end as %v", voters, learners, p.current)
		}
	}
	p.settle(t, "")
	requireReached()
	settled := p.current
	for i := range voters {
		if down := fmt.Sprint(i); canSurvive && p.zoneOf(p.self).Name != down {
			p.current = settled
			p.settle(t, down)
			p.settle(t, "")
			requireReached()
		}
	}
}

// Guards against a zone that holds a majority, and against changes without end: from any
// distribution of voters and learners over up to four zones.
func TestZoneRuleIsReachedFromAnyVoters(t *testing.T) {
	distributions := func(zones, maxPerZone int) [][2][]int {
		all := [][2][]int{{}}
		for range zones {
			var longer [][2][]int
			for _, d := range all {
				for total := range maxPerZone + 1 {
					for v := range total + 1 {
						longer = append(longer, [2][]int{append(slices.Clone(d[0]), v), append(slices.Clone(d[1]), total-v)})
					}
				}
			}
			all = longer
		}
		return all
	}
	for zones, maxPerZone := range map[int]int{2: 3, 3: 3, 4: 2} {
		for losses := 1; losses <= 2; losses++ {
			for _, d := range distributions(zones, maxPerZone) {
				if slices.Max(d[0]) > 0 {
					requireZoneRuleReached(t, losses, d[0], d[1])
				}
			}
		}
	}
}

// The single decisions, each with the numbers of voters by zone that follow from it.
func TestVotersByZone(t *testing.T) {
	for _, c := range []struct {
		name             string
		losses           int
		voters, learners []int
		change           func(p *voterPlan)
		want             []int // nil: no change
	}{
		{"learner of the empty zone first", 2, []int{1, 1, 1, 0}, []int{1, 1, 1, 1}, nil, []int{1, 1, 1, 1}},
		{"one more would not survive a zone", 2, []int{1, 1, 1}, []int{1, 0, 0}, nil, nil},
		{"two more survive", 2, []int{1, 1, 1}, []int{1, 1, 0}, nil, []int{2, 1, 1}},
		{"more losses of VMs before a zone", 2, []int{1, 1, 1}, []int{2, 0, 0}, nil, []int{2, 1, 1}},
		{"the second is not found", 2, []int{2, 1, 1}, []int{0, 0, 0}, nil, []int{1, 1, 1}},
		{"the second lacks entries", 2, []int{2, 1, 1}, []int{0, 1, 0}, func(p *voterPlan) { p.eligible, p.pending = nil, p.eligible }, nil},
		{"learners of one zone", 2, []int{2, 2, 1}, []int{2, 0, 0}, nil, nil},
		{"a pair", 2, []int{2, 2, 1}, []int{1, 0, 1}, nil, []int{2, 2, 2}},
		{"exchange begins", 1, []int{2, 1, 0}, []int{0, 0, 1}, nil, []int{2, 1, 1}},
		{"exchange ends", 1, []int{2, 1, 1}, []int{0, 0, 0}, nil, []int{1, 1, 1}},
		{"too many above the target", 2, []int{4, 2, 1}, []int{0, 0, 0}, nil, []int{3, 2, 1}},
		{"leaving, replacement in a crowded zone", 1, []int{1, 1, 1}, []int{1, 0, 0}, func(p *voterPlan) { p.leave("v0-c") }, []int{2, 1, 1}},
		{"leaving, replacements in two zones", 1, []int{1, 1, 1}, []int{1, 0, 1}, func(p *voterPlan) { p.leave("v0-c") }, []int{1, 1, 2}},
		{"left", 1, []int{1, 1, 2}, []int{0, 0, 0}, func(p *voterPlan) { p.leave("v0-c") }, []int{1, 1, 1}},
		{"a zone is down without learners elsewhere", 2, []int{1, 2, 2}, []int{0, 0, 0}, func(p *voterPlan) { p.lose("v0-b", "v1-b") }, nil},
		{"a zone is down", 2, []int{1, 2, 1, 1}, []int{1, 0, 1, 1}, func(p *voterPlan) { p.lose("v0-b", "v1-b") }, []int{1, 1, 1, 1}},
		{"its place is taken", 2, []int{1, 1, 1, 1}, []int{1, 0, 1, 1}, func(p *voterPlan) { p.lose("v0-b") }, []int{2, 1, 1, 1}},
		{"two zones", 1, []int{2, 1}, []int{1, 0}, nil, nil},
		{"unknown zones", 1, []int{3, 0}, []int{0, 1}, func(p *voterPlan) { p.zones = nil }, nil},
		{"no zone may be lost", 1, []int{2, 1, 0}, []int{0, 0, 1}, func(p *voterPlan) { p.maxLosses = 0 }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := zonePlan(c.losses, c.voters, c.learners)
			if c.change != nil {
				c.change(p)
			}
			next, ok := p.next()
			require.Equal(t, c.want != nil, ok, "%v", next)
			if ok {
				got := make([]int, len(c.want))
				for _, r := range next.Voters {
					got[r.VM[len(r.VM)-1]-'a']++
				}
				require.Equal(t, c.want, got)
			}
		})
	}
}

func (p *voterPlan) leave(id vm.ID) {
	r := ReplicaID{VM: id, Incarnation: 1}
	p.leaving, p.absent[r] = append(p.leaving, r), true
}

func (p *voterPlan) lose(ids ...vm.ID) {
	p.allRespond = false
	for _, id := range ids {
		r := ReplicaID{VM: id, Incarnation: 1}
		p.unresponsive, p.absent[r] = append(p.unresponsive, r), true
	}
}
