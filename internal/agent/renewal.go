package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// renewalInterval is the time in which a holder renews all its registrations.
	renewalInterval = 30 * time.Second
	// shardsPerRenewal is the number of shards that one message to each registrar
	// covers.
	shardsPerRenewal = 8
	// minRenewalAge is the age from which a flow is part of a digest. Messages
	// about younger flows may not have arrived yet.
	minRenewalAge = 2 * time.Second
)

// renewalProgress spreads the renewal of registrations over renewalInterval. A
// renewal carries a digest of the flows of a shard instead of the flows.
// Sending the records of 3,200 flows to two registrars would take 10 KB/s.
type renewalProgress struct {
	// dueShards is how many shards are due in the current round, and renewedShards
	// how many of them were renewed.
	dueShards     float64
	renewedShards int
}

// advance returns the shards whose renewal is due, from first up to but not
// including end.
func (r *renewalProgress) advance(elapsed time.Duration) (first, end int) {
	r.dueShards += min(float64(elapsed)/float64(renewalInterval), 1) * flowShards
	first = r.renewedShards
	for float64(r.renewedShards+shardsPerRenewal) <= r.dueShards {
		r.renewedShards += shardsPerRenewal
	}
	end = r.renewedShards
	if r.renewedShards >= flowShards {
		r.dueShards -= flowShards
		r.renewedShards -= flowShards
	}
	return first, end
}

// shardSummary is a count and a digest of the flows of a shard. It does not
// depend on their order. A peer.ShardSummary carries it in a renewal.
type shardSummary struct {
	count  uint32
	digest uint64
}

func (summary *shardSummary) add(hash uint64, openedAt int64, confirmed bool) {
	summary.count++
	mixed := hash ^ uint64(openedAt)*0x9e3779b97f4a7c15
	if confirmed {
		mixed = ^mixed
	}
	// The finalizer of SplitMix64 gives unrelated digests for nearby times.
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	summary.digest ^= mixed ^ (mixed >> 31)
}

// sendRenewals sends each registrar the summaries of the shards whose renewal
// is due.
func (c *Core) sendRenewals(now time.Time, svc *view.Service, first, end int, out *Actions) {
	if first == end {
		return
	}
	openedBefore := now.Add(-minRenewalAge).UnixNano()
	summaries := make([][]peer.ShardSummary, len(svc.Members))
	for i := first; i < end; i++ {
		number := i % flowShards
		for member, summary := range c.summarizeShard(svc, number, openedBefore) {
			if summary.count > 0 {
				summaries[member] = append(summaries[member], peer.ShardSummary{Number: uint8(number), Count: summary.count, Digest: summary.digest})
			}
		}
	}
	for member, memberSummaries := range summaries {
		if len(memberSummaries) == 0 {
			continue
		}
		upstream := &svc.Members[member]
		out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{RenewRequest: &peer.RenewRequest{
			Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, OpenedBefore: openedBefore, ShardSummaries: memberSummaries,
		}}})
	}
}

// summarizeShard returns the summary of the flows of a shard for each
// registrar, by the index of the member.
func (c *Core) summarizeShard(svc *view.Service, number int, openedBefore int64) []shardSummary {
	summaries := make([]shardSummary, len(svc.Members))
	shard := &c.flows.shards[number]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for _, f := range shard.flows {
		if f.openedAt >= openedBefore {
			continue
		}
		registrars := c.registrars(svc, f.hash)
		for _, member := range registrars.members[:registrars.count] {
			summaries[member].add(f.hash, f.openedAt, f.phase != flow.HalfOpen)
		}
	}
	return summaries
}

// handleRenewRequest extends the registrations of a holder in the shards whose
// summaries match those of the renewal, and requests the flows of the other
// shards.
func (c *Core) handleRenewRequest(now time.Time, svc *view.Service, renewal *peer.RenewRequest, out *Actions) {
	i := svc.Index(renewal.Holder)
	if i < 0 || !c.registry.acceptsIncarnation(renewal.Holder, renewal.Incarnation) {
		out.drop(StaleIncarnation)
		return
	}
	var mismatched []uint8
	for _, received := range renewal.ShardSummaries {
		if received.Number < registryShards && !c.registry.renewShard(now, renewal, received) {
			mismatched = append(mismatched, received.Number)
		}
	}
	if len(mismatched) == 0 {
		return
	}
	upstream := &svc.Members[i]
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{RenewResponse: &peer.RenewResponse{
		From: c.cfg.VM, Incarnation: renewal.Incarnation, DifferingShards: mismatched,
	}}})
}

// renewShard extends the registrations of a holder in a shard if their summary
// matches the received one. It returns false if the holder has to register the
// flows again. A full shard can never match, so that it returns true without a
// match: sending the flows again would not help.
func (r *registry) renewShard(now time.Time, renewal *peer.RenewRequest, received peer.ShardSummary) bool {
	shard := &r.shards[received.Number]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var summary shardSummary
	for _, reg := range shard.flows {
		if reg.holder == renewal.Holder && reg.record.Incarnation == renewal.Incarnation && reg.record.OpenedAt < renewal.OpenedBefore {
			summary.add(reg.hash, reg.record.OpenedAt, isConfirmed(&reg.record))
		}
	}
	matches := summary.count == received.Count && summary.digest == received.Digest
	isFull := len(shard.flows) >= r.capacity
	if !matches && !isFull {
		return false
	}
	for key, reg := range shard.flows {
		if reg.holder == renewal.Holder && reg.record.Incarnation == renewal.Incarnation {
			reg.expires = now.Add(registrationLifetime)
			shard.flows[key] = reg
		}
	}
	return true
}

// handleRenewResponse sends a registrar the records of the shards whose
// summaries differ there.
func (c *Core) handleRenewResponse(svc *view.Service, response *peer.RenewResponse, out *Actions) {
	registrar := svc.Index(response.From)
	if registrar < 0 || response.Incarnation != c.cfg.Incarnation {
		return
	}
	batches := make(registrationBatches, len(svc.Members))
	for _, number := range response.DifferingShards {
		if int(number) < flowShards {
			batches[registrar] = append(batches[registrar], c.recordsFor(svc, int(number), response.From)...)
		}
	}
	c.sendRegistrationBatches(svc, batches, out)
}

// recordsFor returns the records of the flows of a shard that have the given
// registrar.
func (c *Core) recordsFor(svc *view.Service, number int, registrar vm.ID) []peer.FlowRecord {
	var records []peer.FlowRecord
	shard := &c.flows.shards[number]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for _, f := range shard.flows {
		registrars := c.registrars(svc, f.hash)
		for _, member := range registrars.members[:registrars.count] {
			if svc.Members[member].VM == registrar {
				records = append(records, f.toRecord(c.cfg.Incarnation))
			}
		}
	}
	return records
}
