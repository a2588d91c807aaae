package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Packets that the kernel sends into the device must not delay the end of a balancer's
// drain, because they belong to no caller.
func TestOnlyCallerPacketsDelayDrain(t *testing.T) {
	balancer, _ := newTestBalancer(t, 1)
	forwarder := balancer.newForwarder()
	routerSolicitation := append([]byte{0x60, 0, 0, 0, 0, 8, 58, 255}, make([]byte, 40)...)
	routerSolicitation[40] = 133
	begin := time.Now()
	balancer.core.Drain(begin)
	oneSecondLater := begin.Add(time.Second)
	forwarder.handlePacket(oneSecondLater, routerSolicitation)
	require.Equal(t, time.Second, balancer.core.IdleTime(oneSecondLater))
	forwarder.handlePacket(oneSecondLater, newInnerPacket(t))
	require.Zero(t, balancer.core.IdleTime(oneSecondLater))
}
