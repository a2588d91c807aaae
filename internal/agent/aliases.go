package agent

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	// maxAliasAddresses bounds the addresses of a pool that are tried for a port.
	maxAliasAddresses = 1024
	aliasShards       = 64
	// firstSparePort to 65535 are tried when the port of a caller is taken
	// under every address.
	firstSparePort = 1024
	// maxSpareTries bounds the search for a spare port.
	maxSpareTries = 4096
)

// aliasPool gives each flow an address and port under which the upstream sees
// the caller. The port of the caller is kept where it is free, so that the
// address is usually the only thing to choose.
type aliasPool struct {
	first netip.Addr
	count int
	// turn spreads successive flows over the addresses, so that a caller that
	// reuses its port gets an alias that the upstream does not remember.
	turn   atomic.Uint64
	shards [aliasShards]aliasShard
}

type aliasShard struct {
	mu   sync.RWMutex
	used map[uint64]*flowState
}

func newAliasPool(prefix netip.Prefix) *aliasPool {
	p := &aliasPool{}
	for i := range p.shards {
		p.shards[i].used = map[uint64]*flowState{}
	}
	if !prefix.IsValid() {
		return p
	}
	bits := prefix.Addr().BitLen() - prefix.Bits()
	p.count = maxAliasAddresses
	if bits < 10 {
		// The first and last address of an IPv4 prefix may be special.
		p.count = max(1<<bits-2, 1)
	}
	p.first = prefix.Masked().Addr().Next()
	return p
}

func (p *aliasPool) shard(port uint16) *aliasShard { return &p.shards[port%aliasShards] }

func aliasID(address int, port uint16, protocol uint8) uint64 {
	return uint64(address)<<24 | uint64(port)<<8 | uint64(protocol)
}

// acquire sets a free alias in a flow that is not yet in the table.
func (p *aliasPool) acquire(f *flowState) bool {
	if p.count == 0 {
		return false
	}
	port := f.key.Caller.Port()
	if p.acquirePort(f, port, p.count) {
		return true
	}
	const ports = 1<<16 - firstSparePort
	for i := range min(maxSpareTries, ports) {
		spare := firstSparePort + (int(port)+1+i)%ports
		if p.acquirePort(f, uint16(spare), 1) {
			return true
		}
	}
	return false
}

// acquirePort tries some of the addresses with a port.
func (p *aliasPool) acquirePort(f *flowState, port uint16, tries int) bool {
	start := int((f.hash + p.turn.Add(1)) % uint64(p.count))
	s := p.shard(port)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range tries {
		address := (start + i) % p.count
		id := aliasID(address, port, f.key.Protocol)
		if _, taken := s.used[id]; !taken {
			s.used[id] = f
			f.alias = netip.AddrPortFrom(offset(p.first, address), port)
			return true
		}
	}
	return false
}

// restore takes the alias that a flow had in an earlier life. It reports false
// if the alias is taken or outside of the pool.
func (p *aliasPool) restore(f *flowState) bool {
	address, ok := p.index(f.alias.Addr())
	if !ok {
		return false
	}
	s := p.shard(f.alias.Port())
	s.mu.Lock()
	defer s.mu.Unlock()
	id := aliasID(address, f.alias.Port(), f.key.Protocol)
	if _, taken := s.used[id]; taken {
		return false
	}
	s.used[id] = f
	return true
}

// owner returns the flow with an alias, or nil.
func (p *aliasPool) owner(alias netip.AddrPort, protocol uint8) *flowState {
	address, ok := p.index(alias.Addr())
	if !ok {
		return nil
	}
	s := p.shard(alias.Port())
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used[aliasID(address, alias.Port(), protocol)]
}

func (p *aliasPool) release(f *flowState) {
	address, ok := p.index(f.alias.Addr())
	if !ok {
		return
	}
	s := p.shard(f.alias.Port())
	s.mu.Lock()
	defer s.mu.Unlock()
	id := aliasID(address, f.alias.Port(), f.key.Protocol)
	if s.used[id] == f {
		delete(s.used, id)
	}
}

// index returns the position of an address in the pool.
func (p *aliasPool) index(a netip.Addr) (int, bool) {
	if p.count == 0 || a.Is4() != p.first.Is4() {
		return 0, false
	}
	first, address := p.first.As16(), a.As16()
	if [8]byte(first[:8]) != [8]byte(address[:8]) {
		return 0, false
	}
	distance := binary.BigEndian.Uint64(address[8:]) - binary.BigEndian.Uint64(first[8:])
	if distance >= uint64(p.count) {
		return 0, false
	}
	return int(distance), true
}

// offset returns the address n places after a.
func offset(a netip.Addr, n int) netip.Addr {
	b := a.As16()
	carry := n
	for i := len(b) - 1; i >= 0 && carry > 0; i-- {
		carry += int(b[i])
		b[i] = byte(carry)
		carry >>= 8
	}
	result := netip.AddrFrom16(b)
	if a.Is4() {
		return result.Unmap()
	}
	return result
}
