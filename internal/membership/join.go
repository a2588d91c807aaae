package membership

import (
	"net/netip"
	"slices"
	"time"
)

// joinState holds the progress of the local join and the limit for responses to
// other joining processes.
type joinState struct {
	completed       bool
	nextAttemptAt   time.Time
	retryDelay      time.Duration
	responseLimiter tokenBucket
}

// randomSeed returns a random seed other than the local address.
func (n *Node) randomSeed() (netip.AddrPort, bool) {
	if len(n.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	start := n.rng.IntN(len(n.seeds))
	for i := range n.seeds {
		if seed := n.seeds[(start+i)%len(n.seeds)]; seed != n.self.member.Address {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

// sendJoinIfDue sends a join request to a random seed until a seed has responded.
// The first attempt has a random delay of up to maxInitialJoinDelay. Later attempts
// use exponential backoff with jitter. This keeps a zone whose processes all start
// at the same time from overloading the seeds.
func (n *Node) sendJoinIfDue(now time.Time, out *Output) {
	if n.join.completed || now.Before(n.join.nextAttemptAt) {
		return
	}
	n.join.retryDelay = min(max(2*n.join.retryDelay, maxInitialJoinDelay), maxJoinBackoff)
	n.join.nextAttemptAt = now.Add(n.join.retryDelay/2 + n.jitter(n.join.retryDelay))
	if to, ok := n.randomSeed(); ok {
		n.appendMessage(out, to, &message{Kind: kindJoin, ZoneHeartbeats: n.zoneHeartbeats(), Records: singleRecord(n.self)})
	}
}

// handleJoin responds with some members of the joining process's zone and the
// delegates of all zones. The joining process receives the other records by
// anti-entropy with members of its zone.
func (n *Node) handleJoin(now time.Time, from netip.AddrPort, m *message, out *Output) {
	joining := n.records[m.Sender]
	if joining == nil || !n.join.responseLimiter.refill(now) {
		return
	}
	n.join.responseLimiter.spend(1)
	eligible := func(r *memberRecord) bool { return r != joining && r != n.self && r.liveness == alive }
	included := []*memberRecord{n.self}
	included = n.appendRandomMembers(included, joining.zone.activeMembers, maxJoinResponseRecords-len(n.zones), eligible)
	for _, z := range n.zones {
		for _, delegate := range n.zoneDelegates(z) {
			if delegate != joining && !slices.Contains(included, delegate) {
				included = append(included, delegate)
			}
		}
	}
	// A suspicion or failure from before a partition comes first, so that the
	// joining process refutes it.
	if joining.liveness != alive {
		included[0] = joining
	}
	response := &message{Kind: kindJoinResponse, ZoneHeartbeats: n.zoneHeartbeats()}
	response.Records, _ = packRecords(included, recordBudgetBytes-zoneHeartbeatBytes*len(response.ZoneHeartbeats))
	n.appendMessage(out, from, response)
}

func (n *Node) handleJoinResponse(now time.Time, _ *message) {
	n.join.completed = true
	n.antiEntropy.scheduleFollowUp(now)
}
