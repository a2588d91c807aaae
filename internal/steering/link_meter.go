package steering

import "time"

const (
	// linkMeasurementWindow is the period over which the use of the link is measured.
	// It covers several round trips of an upload, which sends a window of 16 packets in
	// each round trip.
	linkMeasurementWindow = 200 * time.Millisecond
	// uploadLinkShare is the share of the link capacity above which openings of uploads
	// are refused. The rest lets open uploads finish and leaves capacity for small
	// requests.
	uploadLinkShare = 0.5
	// headerBytesPerPacket is the size of the IP and UDP headers of the datagram that
	// carries a packet on the link.
	headerBytesPerPacket = 28
	// linkCrossingsPerPacket accounts for both directions: the balancer receives and
	// sends each packet over the same link.
	linkCrossingsPerPacket = 2
)

// linkMeter measures how much of the VM's link capacity the packets of callers use, so
// that openings of uploads can be refused. Several long uploads overload a link of a
// few Mbit/s. Packets of uploads and of small requests are then lost, and each loss
// delays its sender by 200 ms or more.
type linkMeter struct {
	// capacityPerWindow is the number of bytes that the link can carry in one window,
	// or zero if the link rate is unknown.
	capacityPerWindow float64
	windowStart       time.Time
	currentBytes      float64
	previousBytes     float64
}

func newLinkMeter(bitsPerSecond float64) linkMeter {
	const bitsPerByte = 8
	return linkMeter{capacityPerWindow: bitsPerSecond / bitsPerByte * linkMeasurementWindow.Seconds()}
}

// countPacket adds a packet of the given size to the current window.
func (m *linkMeter) countPacket(now time.Time, size int) {
	m.advanceWindow(now)
	m.currentBytes += float64(linkCrossingsPerPacket * (size + headerBytesPerPacket))
}

// advanceWindow starts a new window if the current one has ended. After a gap of two
// windows or more, the previous window is empty.
func (m *linkMeter) advanceWindow(now time.Time) {
	switch elapsed := now.Sub(m.windowStart); {
	case elapsed >= 2*linkMeasurementWindow:
		m.windowStart, m.previousBytes, m.currentBytes = now, 0, 0
	case elapsed >= linkMeasurementWindow:
		m.windowStart, m.previousBytes, m.currentBytes = m.windowStart.Add(linkMeasurementWindow), m.currentBytes, 0
	}
}

// uploadsBlocked reports whether the link has no capacity for another upload. It
// approximates a sliding window: the previous window is weighted by the share of the
// current window that has not elapsed.
func (m *linkMeter) uploadsBlocked(now time.Time) bool {
	if m.capacityPerWindow == 0 {
		return false
	}
	m.advanceWindow(now)
	elapsedShare := float64(now.Sub(m.windowStart)) / float64(linkMeasurementWindow)
	return m.currentBytes+m.previousBytes*(1-elapsedShare) > uploadLinkShare*m.capacityPerWindow
}
