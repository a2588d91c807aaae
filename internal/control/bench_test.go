package control_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// fullInventory returns an inventory of the size that the design page plans
// for: 6,000 upstreams behind 890 services and 600 balancers.
func fullInventory() intent.Change {
	inv := &intent.Inventory{}
	address := netip.MustParseAddr("10.128.0.1")
	for i := range 890 {
		name := service.Name(fmt.Sprintf("service-%d", i))
		inv.Services = append(inv.Services, intent.ServiceEntry{Name: name, Endpoint: service.Endpoint{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443), Protocol: service.TCP,
		}})
	}
	for i := range 6600 {
		address = address.Next()
		m := intent.InventoryVM{ID: vm.ID(fmt.Sprintf("vm-%d", i)), Address: address, Zone: zone.ID{Region: "north", Name: "a"}, Role: vm.RoleBalancer}
		if i < 6000 {
			m.Role, m.Service, m.Slots, m.Connections = vm.RoleUpstream, inv.Services[i%890].Name, 7, 2000
		}
		inv.VMs = append(inv.VMs, m)
	}
	return intent.Change{OperationID: "full", Kind: intent.KindInventory, Inventory: inv}
}

// alternatingTrafficChange returns change i of a series that switches the
// traffic of one service on and off in turn.
func alternatingTrafficChange(i int) intent.Change {
	c := trafficChange(fmt.Sprint("p", i), uint64(i+1), i%2 == 0)
	c.Traffic.Service = "service-1"
	return c
}

// BenchmarkPropose measures one accepted change, from the request of an
// operator to replica c1 until the response. The state has the planned size
// and disks are synced.
func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("%d replicas", replicas), func(b *testing.B) {
			cluster := newTestCluster(b, replicas)
			cluster.start()
			require.EqualValues(b, 1, cluster.proposeWithRetry(fullInventory(), "c1").Revision)
			conn := cluster.dial("c1", nil)
			b.ResetTimer()
			for i := range b.N {
				require.Equal(b, intent.Accepted, mustPropose(b, conn, alternatingTrafficChange(i)).Outcome)
			}
		})
	}
}

// BenchmarkFanOut measures one accepted change, from the request of the
// operator until the last of 600 subscribers has received it.
func BenchmarkFanOut(b *testing.B) {
	cluster := newTestCluster(b, 3)
	cluster.start()
	require.EqualValues(b, 1, cluster.proposeWithRetry(fullInventory(), "c1").Revision)
	subscribers := make([]*subscriber, 600)
	for i := range subscribers {
		subscribers[i] = &subscriber{}
		if i > 0 {
			// All subscribers share one state, so that the benchmark does not
			// need memory for 600 copies.
			subscribers[i].state = subscribers[0].state
		}
		cluster.subscribe(vm.ID(fmt.Sprintf("c%d", i%3+1)), subscribers[i])
	}
	conn := cluster.dial("c1", nil)
	b.ResetTimer()
	for i := range b.N {
		require.Equal(b, intent.Accepted, mustPropose(b, conn, alternatingTrafficChange(i)).Outcome)
		for _, s := range subscribers {
			for s.revision() < uint64(i+2) {
				time.Sleep(100 * time.Microsecond)
			}
		}
	}
}

// BenchmarkCatchUp reports the time and the size of the response to a
// subscriber that reconnects with an old revision, after 1,000 changes.
func BenchmarkCatchUp(b *testing.B) {
	cluster := newTestCluster(b, 1)
	cluster.start()
	cluster.proposeWithRetry(fullInventory(), "c1")
	conn := cluster.dial("c1", nil)
	for i := range 1000 {
		mustPropose(b, conn, alternatingTrafficChange(i))
	}
	for _, from := range []uint64{0, 1, 901, 1000} {
		b.Run(fmt.Sprintf("from revision %d", from), func(b *testing.B) {
			for b.Loop() {
				raw := mustCall[json.RawMessage](b, conn, controlapi.IntentSubscribe, controlapi.SubscribeRequest{VM: "vm-1", Revision: from})
				b.ReportMetric(float64(len(raw)), "answer-B")
			}
		})
	}
}
