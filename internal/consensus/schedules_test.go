package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Schedules of membership: seeded series of losses and replacements, each within the
// limits of a deployment.
const (
	// scheduleSeedsVariable is the number of seeds of a long run.
	scheduleSeedsVariable = "BRAMLEY_SCHEDULE_SEEDS"
	defaultScheduleSeeds  = 50
	defaultZoneSeeds      = 10
	scheduleRounds        = 5
	// scheduleRecovery is the time after the last event in which a change must be committed.
	// The platform gives 20 election timeouts.
	scheduleRecovery = 20 * electionTimeout
)

// keptScheduleSeeds are seeds that have failed.
var keptScheduleSeeds = []uint64{1742, 2588, 2950}

// schedule drives a cluster through rounds of events.
type schedule struct {
	*cluster
	random *rand.Rand
	// losses is how many replicas may be lost at the same time. zoneCount is the number of
	// zones, one of which may be lost instead, or zero.
	losses, zoneCount int
	// members are the replicas that have not been removed.
	members []*testReplica
	// due holds the functions to call at a time.
	due []dueCall
	// acknowledged is the highest revision that was acknowledged.
	acknowledged uint64
	proposals    int
	leaders      map[uint64]vm.ID
}

type dueCall struct {
	at   time.Time
	call func()
}

func newSchedule(t *testing.T, seed uint64, zoneCount int) *schedule {
	random := rand.New(rand.NewPCG(seed, 10))
	losses := 1 + int(seed%2)
	initialVoters := 2*losses + 1
	if zoneCount > 0 && random.IntN(2) == 0 {
		initialVoters = 3
	}
	c := newOpenMembershipCluster(t, initialVoters, 2*losses+1, seed)
	c.maxVoters, c.replaceVoterAfter = 4*losses+1, catchUpTime/2
	s := &schedule{cluster: c, random: random, losses: losses, zoneCount: zoneCount, leaders: map[uint64]vm.ID{}, members: slices.Clone(c.replicas)}
	c.zones, c.maxZoneLosses = map[vm.ID]zone.ID{}, min(zoneCount, 1)
	for i, replica := range c.replicas {
		s.zones[replica.id] = s.zoneOf(i)
	}
	for _, replica := range c.replicas {
		c.start(replica) // with maxVoters
	}
	s.stepUntil("the first change", func() bool { s.proposeChange(); return s.acknowledged > 0 })
	for i := initialVoters; i < 2*losses+1; i++ {
		s.addMember(s.zoneOf(i))
	}
	for range random.IntN(4) {
		s.addMember(s.anyZone())
	}
	s.run(catchUpTime)
	s.requireZoneRule()
	return s
}

// zoneOf returns a zone by its number, and the zero zone in a schedule without zones.
func (s *schedule) zoneOf(number int) zone.ID {
	if s.zoneCount == 0 {
		return zone.ID{}
	}
	return zone.ID{Region: "r", Name: fmt.Sprint("z", number%s.zoneCount)}
}

// anyZone returns a random zone.
func (s *schedule) anyZone() zone.ID {
	if s.zoneCount == 0 {
		return zone.ID{}
	}
	return s.zoneOf(s.random.IntN(s.zoneCount))
}

func (s *schedule) after(delay time.Duration, call func()) {
	s.due = append(s.due, dueCall{at: s.now.Add(delay), call: call})
}

func (s *schedule) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// run advances the time, calls what is due and proposes a change now and then. It checks
// that no term has two leaders.
func (s *schedule) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end) || len(s.due) > 0; {
		s.step()
		var calls []func()
		s.due = slices.DeleteFunc(s.due, func(d dueCall) bool {
			isDue := !d.at.After(s.now)
			if isDue {
				calls = append(calls, d.call)
			}
			return isDue
		})
		for _, call := range calls {
			call()
		}
		s.announceMembers()
		for _, replica := range s.replicas {
			if replica.core != nil && replica.core.Role() == consensus.Leader {
				term := replica.core.Term()
				if other, ok := s.leaders[term]; ok {
					require.Equal(s.t, other, replica.id, "term %d has two leaders", term)
				}
				s.leaders[term] = replica.id
			}
		}
		if s.random.IntN(8) == 0 {
			s.proposeChange()
		}
	}
}

// announceMembers passes the members to each replica, as a directory of processes does.
func (s *schedule) announceMembers() {
	var ids []vm.ID
	for _, replica := range s.members {
		ids = append(ids, replica.id)
	}
	for _, replica := range s.members {
		if replica.core != nil {
			replica.core.SetJoinPeers(ids)
			replica.core.SetZones(s.zones)
		}
	}
}

// proposeChange proposes a change to each replica that leads as far as it knows.
func (s *schedule) proposeChange() {
	for _, replica := range s.replicas {
		if replica.core == nil || replica.core.Role() != consensus.Leader {
			continue
		}
		s.proposals++
		s.propose(replica, trafficChange(fmt.Sprint("p", s.proposals), replica.state.Revision), func(r intent.Result) {
			if r.Outcome == intent.Accepted {
				s.acknowledged = max(s.acknowledged, r.Revision)
			}
		})
	}
}

// logf writes a line with the virtual time and the configuration of the latest leader.
func (s *schedule) logf(format string, args ...any) {
	s.t.Helper()
	var configuration consensus.Configuration
	term := uint64(0)
	for _, replica := range s.replicas {
		if replica.core != nil && replica.core.Role() == consensus.Leader && replica.core.Term() > term {
			configuration, term = replica.core.Configuration(), replica.core.Term()
		}
	}
	s.t.Logf("%s term %d voters %v learners %v: %s", s.now.Sub(time.Unix(0, 0)), term, configuration.Voters, configuration.Learners, fmt.Sprintf(format, args...))
}

// lose takes one replica away for a while: it is killed, loses its disk, or is cut off.
func (s *schedule) lose(replica *testReplica) {
	switch s.random.IntN(4) {
	case 0:
		s.logf("%s is cut off", replica.id)
		s.isolated[replica.id] = true
		s.after(s.randomTime(10*electionTimeout), func() { s.isolated[replica.id] = false })
		return
	case 1:
		s.logf("%s loses its disk", replica.id)
		s.crashAndWipe(replica)
		replica.noBootstrap = true
	default:
		s.logf("%s is killed", replica.id)
		s.crash(replica)
	}
	s.after(s.randomTime(5*electionTimeout), func() {
		s.logf("%s starts", replica.id)
		s.start(replica)
	})
}

// replaceUnplanned removes a replica without notice. Its successor starts later.
func (s *schedule) replaceUnplanned(replica *testReplica) {
	s.remove(replica)
	s.after(s.randomTime(3*electionTimeout), func() { s.addMember(s.zones[replica.id]) })
}

func (s *schedule) addMember(in zone.ID) {
	replica := s.addReplica()
	s.zones[replica.id] = in
	s.logf("%s is added in zone %s", replica.id, in.Name)
	s.members = append(s.members, replica)
}

func (s *schedule) remove(replica *testReplica) {
	s.logf("%s is removed", replica.id)
	s.crash(replica)
	s.members = slices.DeleteFunc(s.members, func(other *testReplica) bool { return other == replica })
}

// replacePlanned starts one or two successors. When they have had their time, it removes
// as many replicas, with or without notice, at any distance in time.
func (s *schedule) replacePlanned() {
	old := slices.Clone(s.members)
	s.random.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	count := 1 + s.random.IntN(2)
	for _, replica := range old[:count] {
		s.addMember(s.zones[replica.id])
	}
	s.run(catchUpTime)
	for _, replica := range old[:count] {
		if s.random.IntN(2) == 0 {
			s.after(s.randomTime(5*electionTimeout), func() { s.stopPlanned(replica, time.Second) })
		} else {
			s.after(s.randomTime(5*electionTimeout), func() { s.remove(replica) })
		}
	}
	s.run(0)
}

// stopPlanned lets a replica hand over its leadership and its vote, and then removes it.
func (s *schedule) stopPlanned(replica *testReplica, remaining time.Duration) {
	const interval = 100 * time.Millisecond
	if replica.core == nil || remaining <= 0 || !replica.core.RequestLeave() {
		s.remove(replica)
		return
	}
	replica.core.TransferLeadership(s.now)
	s.processOutputs(replica)
	s.after(interval, func() { s.stopPlanned(replica, remaining-interval) })
}

// round plays one event, or several at the same time if the limits allow it, and waits
// until no replica counts as lost.
func (s *schedule) round() {
	switch {
	case s.random.IntN(3) == 0:
		s.replacePlanned()
	case s.zoneCount > 0 && s.random.IntN(3) == 0:
		s.loseZone(s.anyZone())
	default:
		for _, i := range s.random.Perm(len(s.members))[:1+s.random.IntN(s.losses)] {
			replica := s.members[i]
			unplanned := s.random.IntN(4) == 0
			s.after(s.randomTime(2*electionTimeout), func() {
				if unplanned {
					s.replaceUnplanned(replica)
				} else {
					s.lose(replica)
				}
			})
		}
		s.run(0)
	}
	s.run(catchUpTime)
	s.requireZoneRule()
}

// loseZone takes all replicas of a zone away for a while: each in its own way, or by a cut
// between the zone and the others.
func (s *schedule) loseZone(lost zone.ID) {
	if s.random.IntN(3) == 0 {
		s.logf("zone %s is cut off", lost.Name)
		s.setZoneCut(lost, true)
		s.after(s.randomTime(10*electionTimeout), func() { s.setZoneCut(lost, false) })
		s.run(0)
		return
	}
	s.logf("zone %s is lost", lost.Name)
	for _, replica := range s.members {
		if s.zones[replica.id] == lost {
			s.after(s.randomTime(electionTimeout), func() { s.lose(replica) })
		}
	}
	s.run(0)
}

// setZoneCut cuts the links between a zone and the others, or restores them.
func (s *schedule) setZoneCut(cut zone.ID, blocked bool) {
	for _, a := range s.members {
		for _, b := range s.members {
			if (s.zones[a.id] == cut) != (s.zones[b.id] == cut) {
				s.blockedLinks[[2]vm.ID{a.id, b.id}] = blocked
			}
		}
	}
}

// requireZoneRule fails the test if the loss of a zone would end the majority of the
// voters.
func (s *schedule) requireZoneRule() {
	if s.zoneCount == 0 {
		return
	}
	voters, perZone := s.leaderVoters(), map[zone.ID]int{}
	for _, r := range voters {
		perZone[s.zones[r.VM]]++
	}
	for lost, count := range perZone {
		require.Greater(s.t, len(voters)-count, len(voters)/2, "voters %v: a loss of zone %s ends the majority", voters, lost)
	}
}

// scheduleSeeds returns the seeds of a run: those that have failed before, and the first
// ones, up to a default number or that of the environment.
func scheduleSeeds(t *testing.T, kept []uint64, count uint64) []uint64 {
	seeds := slices.Clone(kept)
	if text := os.Getenv(scheduleSeedsVariable); text != "" {
		var err error
		count, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return seeds
}

// runSchedule plays the rounds of a schedule. Then a change must be committed in time, and
// all members must receive the changes.
func runSchedule(t *testing.T, seed uint64, zoneCount int) {
	s := newSchedule(t, seed, zoneCount)
	for range scheduleRounds {
		s.round()
	}
	before, acknowledged := s.now, s.acknowledged
	s.stepUntil("a change after the last event", func() bool { s.proposeChange(); return s.acknowledged > acknowledged })
	require.Less(t, s.now.Sub(before), scheduleRecovery)
	s.stepUntil("all members have the changes", func() bool {
		return !slices.ContainsFunc(s.members, func(replica *testReplica) bool { return replica.state.Revision < acknowledged })
	})
}

// Guards against groups that can never form a majority again, and against lost changes:
// lost disks, kills, cuts and replacements in series, each within the limits. Set
// BRAMLEY_SCHEDULE_SEEDS for a longer run.
func TestSchedulesOfMembership(t *testing.T) {
	for _, seed := range scheduleSeeds(t, keptScheduleSeeds, defaultScheduleSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed, 0)
		})
	}
}

// The same with replicas in three or four zones, of which one may be lost. Guards against
// voters of which too many are in one zone after the time in which lost replicas return.
func TestSchedulesOfMembershipByZone(t *testing.T) {
	for _, seed := range scheduleSeeds(t, nil, defaultZoneSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed, 3+int(seed/2%2))
		})
	}
}
