// Package loopback finds addresses for servers that run on one machine.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Values of Host are 127.192.0.0 to 127.253.255.255, those of NumberedHost 127.128.0.0 to
// 127.191.255.255. Fixed addresses of tests lie below.
const (
	firstSecondOctet         = 192
	secondOctets             = 62
	firstNumberedSecondOctet = 128
	numberedSecondOctets     = 64
)

// Host is the loopback address of this process. It depends on the process ID, so that
// processes that run at the same time have different ones.
//
// Load pattern: many tests run at the same time and open many connections. Connections
// start at 127.0.0.1, where one of them may take a port after it was found free and before
// a server listens on it.
var Host = hostOf(os.Getpid())

func hostOf(processID int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(firstSecondOctet + (processID>>16)%secondOctets), byte(processID >> 8), byte(processID)})
}

// NumberedHost returns one of 256 loopback addresses of this process, for processes of a
// test that listen on the same port. Test processes that run at the same time have
// different ones.
func NumberedHost(number byte) netip.Addr {
	processID := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(firstNumberedSecondOctet + (processID>>8)%numberedSecondOctets), byte(processID), number})
}

var (
	mu sync.Mutex
	// usedPorts holds the ports that FreeAddress has returned.
	usedPorts = map[uint16]bool{}
)

// maxAttempts bounds the ports that FreeAddress tries.
const maxAttempts = 100

// FreeAddress returns an address of Host at which no TCP server listens. Each call returns
// another port. It stays free until a server of this process, or of one that it starts,
// listens there.
func FreeAddress() (netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(Host, 0).String())
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("find a free port of %s: %w", Host, err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		if err := listener.Close(); err != nil {
			return netip.AddrPort{}, fmt.Errorf("close the listener on %s: %w", address, err)
		}
		if !usedPorts[address.Port()] {
			usedPorts[address.Port()] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no unused port of %s after %d attempts", Host, maxAttempts)
}
