package steering_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// serviceWithSameShortTag returns a service other than orders whose tag has the same
// lowest 16 bits.
func serviceWithSameShortTag(t *testing.T) service.Name {
	t.Helper()
	for i := range 1 << 20 {
		name := service.Name(fmt.Sprint("service-", i))
		if uint16(steering.NewServiceTag(name)) == uint16(steering.NewServiceTag(orders)) {
			return name
		}
	}
	t.Fatal("no such service")
	return ""
}

// Guards against an opening that runs at another service: a balancer whose list of
// upstreams is old sends it to an address that another service uses by now, and 16 bits of
// the hashes of both names are equal.
func TestServicesWithEqualShortTags(t *testing.T) {
	other := serviceWithSameShortTag(t)
	a := newAgentHarness(t)
	a.checkIn(newCheckIn(1, 0, view.Ready))
	actions := a.handleCallerPacket(openingPacket(9), steering.ForwardingHeader{Service: steering.NewServiceTag(other)})
	require.Len(t, actions, 1)
	require.Equal(t, steering.OtherService, actions[0].Message.Verdict)
}

// Guards against openings that are rejected during an upgrade: balancers of earlier builds
// send the lowest 16 bits only.
func TestShortServiceTags(t *testing.T) {
	for tag, want := range map[steering.ServiceTag]steering.ActionKind{
		steering.NewServiceTag(orders) & 0xffff:  steering.Deliver,
		steering.NewServiceTag(kilnlog) & 0xffff: steering.SendMessage,
	} {
		a := newAgentHarness(t)
		a.checkIn(newCheckIn(1, 0, view.Ready))
		actions := a.handleCallerPacket(openingPacket(9), steering.ForwardingHeader{Service: tag})
		require.Equal(t, want, actions[0].Kind)
	}
}
