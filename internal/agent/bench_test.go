package agent

import (
	"runtime"
	"testing"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// BenchmarkPacket measures a packet of an established flow among 100,000.
func BenchmarkPacket(b *testing.B) {
	c, now := loneCore(bigSetup())
	const flows = 100_000
	openFlows(c, now, flows)
	metas := make([]packet.Meta, 4096)
	for i := range metas {
		metas[i] = tcpPacket(i*23%flows, packet.ACK, 1001, 5001, 100)
	}
	var out Actions
	h := frame.Header{Service: 1}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		out.Clear()
		c.HandleFrame(now, &h, &metas[i%len(metas)], &out)
	}
}

// BenchmarkFlowMemory reports the heap that a flow takes.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 200_000
	for range b.N {
		c, now := loneCore(bigSetup())
		before := heapBytes()
		openFlows(c, now, flows)
		var out Actions
		c.Tick(now.Add(2*time.Second), &out) // Sends what is due.
		out = Actions{}
		b.ReportMetric(float64(heapBytes()-before)/flows, "B/flow")
		runtime.KeepAlive(c)
	}
}

// BenchmarkTick measures a tick with 200,000 flows, every 5 ms of virtual time.
func BenchmarkTick(b *testing.B) {
	c, now := loneCore(bigSetup())
	openFlows(c, now, 200_000)
	var out Actions
	c.Tick(now.Add(2*time.Second), &out)
	b.ResetTimer()
	for i := range b.N {
		out.Clear()
		c.Tick(now.Add(2*time.Second+time.Duration(i)*5*time.Millisecond), &out)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
