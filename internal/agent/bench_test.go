package agent

import (
	"runtime"
	"testing"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// BenchmarkPacket measures a packet of an established flow among 100,000 flows.
func BenchmarkPacket(b *testing.B) {
	c, now := singleCore(largeTableSetup())
	const flows = 100_000
	establishFlows(c, now, flows)
	metas := make([]packet.Meta, 4096)
	for i := range metas {
		metas[i] = tcpPacket(i*23%flows, packet.ACK, 1001, 5001, 100)
	}
	var out Actions
	header := frame.Header{Service: 1}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		out.Clear()
		c.HandleFrame(now, &header, &metas[i%len(metas)], &out)
	}
}

// BenchmarkFlowMemory reports the heap bytes per flow.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 200_000
	for range b.N {
		c, now := singleCore(largeTableSetup())
		before := heapBytesInUse()
		establishFlows(c, now, flows)
		var out Actions
		c.Tick(now.Add(2*time.Second), &out) // Sends the due registrations.
		out = Actions{}
		b.ReportMetric(float64(heapBytesInUse()-before)/flows, "B/flow")
		runtime.KeepAlive(c)
	}
}

// BenchmarkTick measures a tick with 200,000 flows, every 5 ms of virtual time.
func BenchmarkTick(b *testing.B) {
	c, now := singleCore(largeTableSetup())
	establishFlows(c, now, 200_000)
	var out Actions
	c.Tick(now.Add(2*time.Second), &out)
	b.ResetTimer()
	for i := range b.N {
		out.Clear()
		c.Tick(now.Add(2*time.Second+time.Duration(i)*5*time.Millisecond), &out)
	}
}

func heapBytesInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
