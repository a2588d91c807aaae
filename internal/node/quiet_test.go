package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop of a balancer that packets of the kernel, which
// belong to no caller, prolong.
func TestOnlyPacketsOfCallersProlongTheStop(t *testing.T) {
	b, _ := testBalancer(t, 1)
	f := b.newForwarder()
	routerSolicitation := append([]byte{0x60, 0, 0, 0, 0, 8, 58, 255}, make([]byte, 40)...)
	routerSolicitation[40] = 133
	f.handle(time.Now(), routerSolicitation)
	require.Zero(t, b.lastPacket.Load())
	now := time.Now()
	f.handle(now, innerPacket(t))
	require.Equal(t, now.UnixNano(), b.lastPacket.Load())
}
