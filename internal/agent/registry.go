package agent

import (
	"slices"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// registryShards equals the number of shards of the flow table. A peer.ShardSummary
	// thus covers one shard at the holder and one at the registrar.
	registryShards = flowShards
	// registrationLifetime outlasts the loss of two renewals in a row.
	registrationLifetime = 100 * time.Second
	// sweepInterval is the time in which all shards are searched for expired
	// registrations.
	sweepInterval = 10 * time.Second
)

// registration is the record of a flow that another agent holds.
type registration struct {
	holder  vm.ID
	hash    uint64
	record  peer.FlowRecord
	expires time.Time
}

type registryShard struct {
	mu    sync.RWMutex
	flows map[flow.Key]registration
}

// registry holds the flows that other agents have registered here.
type registry struct {
	shards   [registryShards]registryShard
	capacity int

	mu sync.Mutex
	// incarnations holds the latest incarnation of each holder.
	incarnations map[vm.ID]vm.Incarnation
	// sweptShards counts the shards that were searched since the start. It grows
	// by fractions of a shard.
	sweptShards float64
	lastSweepAt time.Time
}

func newRegistry(capacity int) *registry {
	r := &registry{capacity: max(capacity/registryShards, 1), incarnations: map[vm.ID]vm.Incarnation{}}
	for i := range r.shards {
		r.shards[i].flows = map[flow.Key]registration{}
	}
	return r
}

func (r *registry) shard(hash uint64) *registryShard { return &r.shards[hash%registryShards] }

func (r *registry) find(ref flowRef) (registration, bool) {
	shard := r.shard(ref.hash)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	reg, ok := shard.flows[ref.key]
	return reg, ok
}

// acceptsIncarnation stores the incarnation of a holder and reports whether it
// is the latest one.
func (r *registry) acceptsIncarnation(holder vm.ID, incarnation vm.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation < r.incarnations[holder] {
		return false
	}
	r.incarnations[holder] = incarnation
	return true
}

// storeResult is the result of storing a record.
type storeResult uint8

const (
	recordStored storeResult = iota
	// recordOutdated: a newer flow with the key is already registered.
	recordOutdated
	// registryShardFull: the shard of the flow has reached its share of
	// Limits.Registrations.
	registryShardFull
)

// store adds or updates the record of a flow. If two holders register the same
// key, the flow whose caller has completed the handshake is kept. If that does
// not decide, the one with the later opening is kept, because the caller has
// abandoned the other. The holder of the flow that is not kept is returned, if
// any.
func (r *registry) store(now time.Time, holder vm.ID, flowHash uint64, record peer.FlowRecord) (result storeResult, superseded vm.ID) {
	shard := r.shard(flowHash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	existing, ok := shard.flows[record.Key]
	if ok && existing.holder != holder && now.Before(existing.expires) {
		if !supersedes(&record, &existing.record) {
			return recordOutdated, holder
		}
		superseded = existing.holder
	}
	if ok && existing.holder == holder && record.OpenedAt < existing.record.OpenedAt {
		return recordOutdated, ""
	}
	if !ok && len(shard.flows) >= r.capacity {
		return registryShardFull, ""
	}
	shard.flows[record.Key] = registration{holder: holder, hash: flowHash, record: record, expires: now.Add(registrationLifetime)}
	return recordStored, superseded
}

// supersedes reports whether a record replaces the existing one of another
// holder.
func supersedes(record, existing *peer.FlowRecord) bool {
	if isConfirmed(record) != isConfirmed(existing) {
		return isConfirmed(record)
	}
	return record.OpenedAt > existing.OpenedAt
}

// isConfirmed reports whether the caller has completed the handshake.
func isConfirmed(r *peer.FlowRecord) bool { return r.Phase != flow.HalfOpen }

// remove deletes a flow that its holder has ended. A delayed message about a
// previous flow with the key does not delete a newer one.
func (r *registry) remove(unregister *peer.Unregister, ref flowRef) {
	shard := r.shard(ref.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	existing, ok := shard.flows[ref.key]
	if ok && existing.holder == unregister.Holder && existing.record.Incarnation <= unregister.Incarnation && existing.record.OpenedAt <= unregister.OpenedBefore {
		delete(shard.flows, ref.key)
	}
}

// recordsOf returns all records of a holder.
func (r *registry) recordsOf(holder vm.ID) []peer.FlowRecord {
	var records []peer.FlowRecord
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for _, reg := range shard.flows {
			if reg.holder == holder {
				records = append(records, reg.record)
			}
		}
		shard.mu.RUnlock()
	}
	slices.SortFunc(records, byOpenedAt)
	return records
}

// sweepExpired removes the expired registrations of the shards that are due.
func (r *registry) sweepExpired(now time.Time) {
	r.mu.Lock()
	if r.lastSweepAt.IsZero() {
		r.lastSweepAt = now
	}
	first := r.sweptShards
	r.sweptShards += min(float64(now.Sub(r.lastSweepAt))/float64(sweepInterval), 1) * registryShards
	r.lastSweepAt = now
	end := r.sweptShards
	r.mu.Unlock()
	for i := int(first); i < int(end); i++ {
		shard := &r.shards[i%registryShards]
		shard.mu.Lock()
		for key, reg := range shard.flows {
			if now.After(reg.expires) {
				delete(shard.flows, key)
			}
		}
		shard.mu.Unlock()
	}
}
