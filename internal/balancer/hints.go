package balancer

import (
	"sync"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// hint names the holder of a flow. A wrong hint costs one additional hop between
// agents; it does not break the flow.
type hint struct {
	// holderHash is the member hash of the holder.
	holderHash  uint64
	incarnation vm.Incarnation
}

const (
	hintShardCount = 64
	// defaultHintCapacity bounds the memory of the cache to about 30 MB.
	defaultHintCapacity = 500_000
)

// hintCache stores hints by flow hash in shards. Each shard has two generations.
// When the current generation is full it becomes the previous one, and the
// entries of the former previous generation are evicted: those that were not set
// again in the meantime.
type hintCache struct {
	shards [hintShardCount]hintShard
}

type hintShard struct {
	mu sync.RWMutex
	// generationCapacity bounds the entries of one generation.
	generationCapacity int
	currentGeneration  map[uint64]hint
	previousGeneration map[uint64]hint
}

func newHintCache(capacity int) *hintCache {
	if capacity <= 0 {
		capacity = defaultHintCapacity
	}
	c := &hintCache{}
	for i := range c.shards {
		// Each of the two generations has half of the capacity of its shard.
		c.shards[i].generationCapacity = max(capacity/hintShardCount/2, 1)
		c.shards[i].currentGeneration = map[uint64]hint{}
	}
	return c
}

func (c *hintCache) shardOf(flowHash uint64) *hintShard { return &c.shards[flowHash%hintShardCount] }

func (c *hintCache) get(flowHash uint64) (hint, bool) {
	s := c.shardOf(flowHash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.getLocked(flowHash)
}

// getLocked returns the hint of a flow. The lock must be held.
func (s *hintShard) getLocked(flowHash uint64) (hint, bool) {
	if h, ok := s.currentGeneration[flowHash]; ok {
		return h, true
	}
	h, ok := s.previousGeneration[flowHash]
	return h, ok
}

// put stores a hint. A delayed hint of a previous incarnation of the same holder
// does not replace the current one.
func (c *hintCache) put(flowHash uint64, h hint) {
	s := c.shardOf(flowHash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.getLocked(flowHash); ok && existing.holderHash == h.holderHash && existing.incarnation > h.incarnation {
		return
	}
	if len(s.currentGeneration) >= s.generationCapacity {
		s.previousGeneration, s.currentGeneration = s.currentGeneration, make(map[uint64]hint, s.generationCapacity)
	}
	s.currentGeneration[flowHash] = h
	delete(s.previousGeneration, flowHash)
}

func (c *hintCache) remove(flowHash uint64) {
	s := c.shardOf(flowHash)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.currentGeneration, flowHash)
	delete(s.previousGeneration, flowHash)
}

func (c *hintCache) len() int {
	total := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		total += len(s.currentGeneration) + len(s.previousGeneration)
		s.mu.RUnlock()
	}
	return total
}
