package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// refreshInterval is the time in which a holder renews all registrations.
	refreshInterval = 30 * time.Second
	// shardsPerRenewal are summed up in one message to each registrar.
	shardsPerRenewal = 8
	// renewalAge is the age from which a flow is part of a sum: messages about
	// younger ones may be under way.
	renewalAge = 2 * time.Second
)

// renewals paces the renewal of registrations. A renewal sends a sum over the
// flows of a shard in place of the flows: 3,200 flows with two registrars would
// take 10 KB/s.
type renewals struct {
	progress float64
	renewed  int
}

// due returns the shards whose renewal is due: from first to end.
func (r *renewals) due(elapsed time.Duration) (first, end int) {
	r.progress += min(float64(elapsed)/float64(refreshInterval), 1) * flowShards
	first = r.renewed
	for float64(r.renewed+shardsPerRenewal) <= r.progress {
		r.renewed += shardsPerRenewal
	}
	end = r.renewed
	if r.renewed >= flowShards {
		r.progress -= flowShards
		r.renewed -= flowShards
	}
	return first, end
}

// bucketSum sums up flows, independent of their order.
type bucketSum struct {
	count  uint32
	digest uint64
}

func (s *bucketSum) add(hash uint64, openedAt int64, confirmed bool) {
	s.count++
	z := hash ^ uint64(openedAt)*0x9e3779b97f4a7c15
	if confirmed {
		z = ^z
	}
	// Finalizer of SplitMix64: nearby times give unrelated sums.
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	s.digest ^= z ^ (z >> 31)
}

// renew sends each registrar the sums of the shards whose renewal is due.
func (c *Core) renew(now time.Time, svc *view.Service, first, end int, out *Actions) {
	if first == end {
		return
	}
	before := now.Add(-renewalAge).UnixNano()
	buckets := make([][]peer.Bucket, len(svc.Members))
	for i := first; i < end; i++ {
		number := i % flowShards
		for member, sum := range c.sumShard(svc, number, before) {
			if sum.count > 0 {
				buckets[member] = append(buckets[member], peer.Bucket{Number: uint8(number), Count: sum.count, Digest: sum.digest})
			}
		}
	}
	for member, list := range buckets {
		if len(list) == 0 {
			continue
		}
		u := &svc.Members[member]
		out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Renew: &peer.Renew{
			Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Before: before, Buckets: list,
		}}})
	}
}

// sumShard returns the sum of the flows of a shard for each registrar.
func (c *Core) sumShard(svc *view.Service, number int, before int64) []bucketSum {
	sums := make([]bucketSum, len(svc.Members))
	s := &c.flows.shards[number]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if f.openedAt >= before {
			continue
		}
		k := c.registrars(svc, f.hash)
		for _, member := range k.members[:k.count] {
			sums[member].add(f.hash, f.openedAt, f.phase != flow.HalfOpen)
		}
	}
	return sums
}

// handleRenew keeps the registrations of a holder for longer where the sums
// agree, and asks for the flows of the others.
func (c *Core) handleRenew(now time.Time, svc *view.Service, m *peer.Renew, out *Actions) {
	i := svc.Index(m.Holder)
	if i < 0 || !c.peers.accepts(m.Holder, m.Incarnation) {
		out.drop(StaleIncarnation)
		return
	}
	var wanted []uint8
	for _, b := range m.Buckets {
		if b.Number < registryShards && !c.peers.renew(now, m, b) {
			wanted = append(wanted, b.Number)
		}
	}
	if len(wanted) == 0 {
		return
	}
	u := &svc.Members[i]
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{RenewResponse: &peer.RenewResponse{
		From: c.cfg.VM, Incarnation: m.Incarnation, MissingBuckets: wanted,
	}}})
}

// renew extends the records of a holder in a bucket if they agree with its sum.
// A full shard never agrees; it reports true, because asking would not help.
func (r *registry) renew(now time.Time, m *peer.Renew, b peer.Bucket) bool {
	s := &r.shards[b.Number]
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum bucketSum
	for _, reg := range s.flows {
		if reg.holder == m.Holder && reg.record.Incarnation == m.Incarnation && reg.record.OpenedAt < m.Before {
			sum.add(reg.hash, reg.record.OpenedAt, confirmed(&reg.record))
		}
	}
	agrees := sum.count == b.Count && sum.digest == b.Digest
	full := len(s.flows) >= r.capacity
	if !agrees && !full {
		return false
	}
	for key, reg := range s.flows {
		if reg.holder == m.Holder && reg.record.Incarnation == m.Incarnation {
			reg.expires = now.Add(registrationLifetime)
			s.flows[key] = reg
		}
	}
	return true
}

// handleRenewAnswer registers the flows of some shards again at one registrar.
func (c *Core) handleRenewAnswer(svc *view.Service, m *peer.RenewResponse, out *Actions) {
	registrar := svc.Index(m.From)
	if registrar < 0 || m.Incarnation != c.cfg.Incarnation {
		return
	}
	b := make(batches, len(svc.Members))
	for _, number := range m.MissingBuckets {
		if int(number) < flowShards {
			b[registrar] = append(b[registrar], c.recordsFor(svc, int(number), m.From)...)
		}
	}
	c.sendBatches(svc, b, out)
}

// recordsFor returns the flows of a shard that a registrar should know.
func (c *Core) recordsFor(svc *view.Service, number int, registrar vm.ID) []peer.FlowRecord {
	var records []peer.FlowRecord
	s := &c.flows.shards[number]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		k := c.registrars(svc, f.hash)
		for _, member := range k.members[:k.count] {
			if svc.Members[member].VM == registrar {
				records = append(records, f.record(c.cfg.Incarnation))
			}
		}
	}
	return records
}
