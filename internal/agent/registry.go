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
	// registryShards equals the number of shards of the flow table, so that a
	// bucket of a renewal is one shard at the holder and at the registrar.
	registryShards = flowShards
	// registrationLifetime lets two renewals get lost.
	registrationLifetime = 100 * time.Second
	// sweepInterval is the time in which all shards are searched for
	// registrations that have run out.
	sweepInterval = 10 * time.Second
)

// registration is a flow of another agent that is remembered here.
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

// registry keeps the flows that other agents have registered here.
type registry struct {
	shards   [registryShards]registryShard
	capacity int

	mu sync.Mutex
	// lives holds the latest known incarnation of each holder.
	lives map[vm.ID]vm.Incarnation
	swept float64
	last  time.Time
}

func newRegistry(capacity int) *registry {
	r := &registry{capacity: max(capacity/registryShards, 1), lives: map[vm.ID]vm.Incarnation{}}
	for i := range r.shards {
		r.shards[i].flows = map[flow.Key]registration{}
	}
	return r
}

func (r *registry) shard(hash uint64) *registryShard { return &r.shards[hash%registryShards] }

func (r *registry) find(ref flowRef) (registration, bool) {
	s := r.shard(ref.hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	reg, ok := s.flows[ref.key]
	return reg, ok
}

// accepts notes the incarnation of a holder and reports whether a message of
// it is from its latest life.
func (r *registry) accepts(holder vm.ID, incarnation vm.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation < r.lives[holder] {
		return false
	}
	r.lives[holder] = incarnation
	return true
}

// stored says what became of a record.
type stored uint8

const (
	storedNew stored = iota
	// storedOlder: a newer flow with the key is registered by another holder.
	storedOlder
	storedFull
)

// store remembers a flow. Of two holders of one key the one whose flow the
// caller has confirmed is kept, then the one with the later opening: the
// caller has given up the other. The loser, if any, is returned.
func (r *registry) store(now time.Time, holder vm.ID, hash uint64, record peer.FlowRecord) (result stored, loser vm.ID) {
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.flows[record.Key]
	if ok && known.holder != holder && now.Before(known.expires) {
		if !supersedes(&record, &known.record) {
			return storedOlder, holder
		}
		loser = known.holder
	}
	if ok && known.holder == holder && record.OpenedAt < known.record.OpenedAt {
		return storedOlder, ""
	}
	if !ok && len(s.flows) >= r.capacity {
		return storedFull, ""
	}
	s.flows[record.Key] = registration{holder: holder, hash: hash, record: record, expires: now.Add(registrationLifetime)}
	return storedNew, loser
}

func supersedes(record, known *peer.FlowRecord) bool {
	if confirmed(record) != confirmed(known) {
		return confirmed(record)
	}
	return record.OpenedAt > known.OpenedAt
}

func confirmed(r *peer.FlowRecord) bool { return r.Phase != flow.HalfOpen }

// remove forgets a flow that its holder has ended. A late message about an
// earlier flow with the key does not remove a newer one.
func (r *registry) remove(u *peer.Unregister, ref flowRef) {
	s := r.shard(ref.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.flows[ref.key]
	if ok && known.holder == u.Holder && known.record.Incarnation <= u.Incarnation && known.record.OpenedAt <= u.OpenedBefore {
		delete(s.flows, ref.key)
	}
}

// of returns all records of a holder.
func (r *registry) of(holder vm.ID) []peer.FlowRecord {
	var records []peer.FlowRecord
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, reg := range s.flows {
			if reg.holder == holder {
				records = append(records, reg.record)
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(records, byOpening)
	return records
}

// expire searches the shards that are due for registrations that have run out.
func (r *registry) expire(now time.Time) {
	r.mu.Lock()
	if r.last.IsZero() {
		r.last = now
	}
	from := r.swept
	r.swept += min(float64(now.Sub(r.last))/float64(sweepInterval), 1) * registryShards
	r.last = now
	to := r.swept
	r.mu.Unlock()
	for i := int(from); i < int(to); i++ {
		s := &r.shards[i%registryShards]
		s.mu.Lock()
		for key, reg := range s.flows {
			if now.After(reg.expires) {
				delete(s.flows, key)
			}
		}
		s.mu.Unlock()
	}
}
