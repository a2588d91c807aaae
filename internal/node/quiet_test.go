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
	begin := time.Now()
	b.core.Drain(begin)
	later := begin.Add(time.Second)
	f.handle(later, routerSolicitation)
	require.Equal(t, time.Second, b.core.Quiet(later))
	f.handle(later, innerPacket(t))
	require.Zero(t, b.core.Quiet(later))
}
