package balancer

import (
	"sync"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// hint names the holder of a flow. A wrong hint costs a hop, never a flow.
type hint struct {
	holder      uint64
	incarnation vm.Incarnation
}

const (
	hintShards = 64
	// defaultHintCapacity bounds the cache at about 30 MB.
	defaultHintCapacity = 500_000
)

// hintCache keeps hints by flow hash in shards. A full shard forgets its older
// generation: entries not set since the previous turnover.
type hintCache struct {
	shards [hintShards]hintShard
}

type hintShard struct {
	mu       sync.RWMutex
	capacity int
	young    map[uint64]hint
	old      map[uint64]hint
}

func newHintCache(capacity int) *hintCache {
	if capacity <= 0 {
		capacity = defaultHintCapacity
	}
	c := &hintCache{}
	for i := range c.shards {
		// Each of the two generations gets half of the shard.
		c.shards[i].capacity = max(capacity/hintShards/2, 1)
		c.shards[i].young = map[uint64]hint{}
	}
	return c
}

func (c *hintCache) shard(hash uint64) *hintShard { return &c.shards[hash%hintShards] }

func (c *hintCache) get(hash uint64) (hint, bool) {
	s := c.shard(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.find(hash)
}

// find looks a hint up. The lock is held.
func (s *hintShard) find(hash uint64) (hint, bool) {
	if h, ok := s.young[hash]; ok {
		return h, true
	}
	h, ok := s.old[hash]
	return h, ok
}

// put keeps a hint. A delayed hint of an earlier life of the same holder does
// not replace the current one.
func (c *hintCache) put(hash uint64, h hint) {
	s := c.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.find(hash); ok && known.holder == h.holder && known.incarnation > h.incarnation {
		return
	}
	if len(s.young) >= s.capacity {
		s.old, s.young = s.young, make(map[uint64]hint, s.capacity)
	}
	s.young[hash] = h
	delete(s.old, hash)
}

func (c *hintCache) remove(hash uint64) {
	s := c.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.young, hash)
	delete(s.old, hash)
}

func (c *hintCache) len() int {
	total := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		total += len(s.young) + len(s.old)
		s.mu.RUnlock()
	}
	return total
}
