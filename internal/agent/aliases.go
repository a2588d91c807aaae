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
	// Ports from firstFallbackPort to 65535 are tried when the port of a caller is
	// in use under every address.
	firstFallbackPort = 1024
	// maxFallbackPorts bounds the number of fallback ports that are tried.
	maxFallbackPorts = 4096
)

// aliasPool assigns each flow its alias, the source address and port under
// which the upstream sees the caller. The port of the caller is kept if it is
// free, so that usually only an address has to be chosen.
type aliasPool struct {
	firstAddress netip.Addr
	addressCount int
	// rotation spreads successive flows over the addresses. A caller that reuses
	// its port thus gets an alias for which the upstream keeps no state of the
	// previous connection.
	rotation atomic.Uint64
	shards   [aliasShards]aliasShard
}

type aliasShard struct {
	mu     sync.RWMutex
	owners map[uint64]*flowState
}

func newAliasPool(prefix netip.Prefix) *aliasPool {
	pool := &aliasPool{}
	for i := range pool.shards {
		pool.shards[i].owners = map[uint64]*flowState{}
	}
	if !prefix.IsValid() {
		return pool
	}
	hostBits := prefix.Addr().BitLen() - prefix.Bits()
	pool.addressCount = maxAliasAddresses
	if hostBits < 10 {
		// The first and last address of an IPv4 prefix may be the network and the
		// broadcast address.
		pool.addressCount = max(1<<hostBits-2, 1)
	}
	pool.firstAddress = prefix.Masked().Addr().Next()
	return pool
}

func (pool *aliasPool) shard(port uint16) *aliasShard { return &pool.shards[port%aliasShards] }

// aliasID packs an alias into one integer.
func aliasID(address int, port uint16, protocol uint8) uint64 {
	return uint64(address)<<24 | uint64(port)<<8 | uint64(protocol)
}

// acquire assigns a free alias to a flow that is not in the table yet. It
// reports false if none was found.
func (pool *aliasPool) acquire(f *flowState) bool {
	if pool.addressCount == 0 {
		return false
	}
	port := f.key.Caller.Port()
	if pool.acquireWithPort(f, port, pool.addressCount) {
		return true
	}
	const ports = 1<<16 - firstFallbackPort
	for i := range min(maxFallbackPorts, ports) {
		fallbackPort := firstFallbackPort + (int(port)+1+i)%ports
		if pool.acquireWithPort(f, uint16(fallbackPort), 1) {
			return true
		}
	}
	return false
}

// acquireWithPort tries up to a number of addresses with one port.
func (pool *aliasPool) acquireWithPort(f *flowState, port uint16, addresses int) bool {
	start := int((f.hash + pool.rotation.Add(1)) % uint64(pool.addressCount))
	shard := pool.shard(port)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for i := range addresses {
		address := (start + i) % pool.addressCount
		id := aliasID(address, port, f.key.Protocol)
		if _, inUse := shard.owners[id]; !inUse {
			shard.owners[id] = f
			f.alias = netip.AddrPortFrom(addressAt(pool.firstAddress, address), port)
			return true
		}
	}
	return false
}

// reserveAlias takes the alias that a restored flow had in a previous
// incarnation. It reports false if the alias is in use or not in the pool.
func (pool *aliasPool) reserveAlias(f *flowState) bool {
	address, ok := pool.addressIndex(f.alias.Addr())
	if !ok {
		return false
	}
	shard := pool.shard(f.alias.Port())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	id := aliasID(address, f.alias.Port(), f.key.Protocol)
	if _, inUse := shard.owners[id]; inUse {
		return false
	}
	shard.owners[id] = f
	return true
}

// owner returns the flow with an alias, or nil.
func (pool *aliasPool) owner(alias netip.AddrPort, protocol uint8) *flowState {
	address, ok := pool.addressIndex(alias.Addr())
	if !ok {
		return nil
	}
	shard := pool.shard(alias.Port())
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.owners[aliasID(address, alias.Port(), protocol)]
}

// release makes the alias of a flow free again.
func (pool *aliasPool) release(f *flowState) {
	address, ok := pool.addressIndex(f.alias.Addr())
	if !ok {
		return
	}
	shard := pool.shard(f.alias.Port())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	id := aliasID(address, f.alias.Port(), f.key.Protocol)
	if shard.owners[id] == f {
		delete(shard.owners, id)
	}
}

// addressIndex returns the position of an address in the pool.
func (pool *aliasPool) addressIndex(address netip.Addr) (int, bool) {
	if pool.addressCount == 0 || address.Is4() != pool.firstAddress.Is4() {
		return 0, false
	}
	firstBytes, addressBytes := pool.firstAddress.As16(), address.As16()
	if [8]byte(firstBytes[:8]) != [8]byte(addressBytes[:8]) {
		return 0, false
	}
	distance := binary.BigEndian.Uint64(addressBytes[8:]) - binary.BigEndian.Uint64(firstBytes[8:])
	if distance >= uint64(pool.addressCount) {
		return 0, false
	}
	return int(distance), true
}

// addressAt returns the address n places after first.
func addressAt(first netip.Addr, n int) netip.Addr {
	address := first.As16()
	sum := n
	for i := len(address) - 1; i >= 0 && sum > 0; i-- {
		sum += int(address[i])
		address[i] = byte(sum)
		sum >>= 8
	}
	result := netip.AddrFrom16(address)
	if first.Is4() {
		return result.Unmap()
	}
	return result
}
