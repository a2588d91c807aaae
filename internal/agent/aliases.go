package agent

import (
	"net/netip"
	"sync"
)

// maxAliasAddresses bounds the addresses of a pool that are tried for a port.
const maxAliasAddresses = 1024

type aliasKey struct {
	alias    netip.AddrPort
	protocol uint8
}

// aliasPool gives each flow an address and port under which the upstream sees
// the caller. The port of the caller is kept, so that the address is the only
// thing to choose.
type aliasPool struct {
	first netip.Addr
	count int
	mu    sync.RWMutex
	used  map[aliasKey]flowRef
}

func newAliasPool(prefix netip.Prefix) *aliasPool {
	p := &aliasPool{used: map[aliasKey]flowRef{}}
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

// acquire returns a free alias for the flow.
func (p *aliasPool) acquire(ref flowRef) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		return netip.AddrPort{}, false
	}
	start := int(ref.hash % uint64(p.count))
	for i := range p.count {
		candidate := netip.AddrPortFrom(offset(p.first, (start+i)%p.count), ref.key.Caller.Port())
		k := aliasKey{alias: candidate, protocol: ref.key.Protocol}
		if _, taken := p.used[k]; !taken {
			p.used[k] = ref
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

func (p *aliasPool) owner(alias netip.AddrPort, protocol uint8) (flowRef, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	ref, ok := p.used[aliasKey{alias: alias, protocol: protocol}]
	return ref, ok
}

func (p *aliasPool) release(alias netip.AddrPort, protocol uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, aliasKey{alias: alias, protocol: protocol})
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
