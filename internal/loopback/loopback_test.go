package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against servers that cannot listen because a connection has taken their port:
// CI failed with "address already in use" in TestPlannedStopOfTheLeader.
func TestConnectionsDoNotTakeFreeAddresses(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	address, err := FreeAddress()
	require.NoError(t, err)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(address.Port())}}
	conn, err := dialer.Dial("tcp", target.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	server, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	require.NoError(t, server.Close())
}

// Guards against two servers of one process that get the same address.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 1000 {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}

// Guards against processes that share a host, and against hosts that are not loopback
// addresses or that connections use as their source.
func TestHostsOfProcesses(t *testing.T) {
	seen := map[netip.Addr]bool{}
	for processID := range 1 << 17 {
		host := hostOf(processID)
		require.True(t, host.IsLoopback(), host)
		require.NotEqual(t, netip.MustParseAddr("127.0.0.1"), host)
		require.False(t, seen[host], host)
		seen[host] = true
	}
	require.True(t, hostOf(1<<22).IsLoopback())
}
