package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

const (
	// initialUploadBytes is the expected size of an upload before the first one has
	// ended: one window of a caller, 16 packets.
	initialUploadBytes = 16 * 1300
	// uploadSizeWeight is the weight of the size of an upload in the moving average.
	uploadSizeWeight = 0.1
	// uploadObjectiveShare is the share of the latency objective within which an upload
	// must be expected to pass the link. The rest is for its work at the upstream, and
	// for uploads that are longer than expected.
	uploadObjectiveShare = 0.5
	// uploadIdleTime is the time without packets after which an upload counts as ended
	// or abandoned. It exceeds the first retransmission interval of callers (200 ms).
	uploadIdleTime = 500 * time.Millisecond
)

// uploadAdmission decides which openings of uploads the link of a VM can take.
//
// Load pattern: callers open uploads at random over entry VMs with links of 2 to
// 5 Mbit/s. An upload that starts behind several others is late, and its caller could
// use another VM instead: a caller whose opening is reset sends it again from another
// port, and the fabric then mostly selects another VM.
type uploadAdmission struct {
	// meanBytes is the moving average of the bytes that an upload takes on the link.
	meanBytes float64
	active    map[flow.Key]*activeUpload
}

// activeUpload is an upload in progress.
type activeUpload struct {
	sentBytes    int
	lastPacketAt time.Time
}

func newUploadAdmission() uploadAdmission {
	return uploadAdmission{meanBytes: initialUploadBytes, active: map[flow.Key]*activeUpload{}}
}

// countOpening adds an upload whose opening was placed.
func (u *uploadAdmission) countOpening(now time.Time, key flow.Key) {
	u.active[key] = &activeUpload{lastPacketAt: now}
}

// countPacket adds the bytes of a packet to its upload.
func (u *uploadAdmission) countPacket(now time.Time, key flow.Key, size int) {
	upload := u.active[key]
	if upload == nil {
		upload = &activeUpload{}
		u.active[key] = upload
	}
	upload.lastPacketAt = now
	upload.sentBytes += size
}

// end removes an upload and, if it has sent data, adds its size to the average.
func (u *uploadAdmission) end(key flow.Key) {
	upload := u.active[key]
	if upload == nil {
		return
	}
	delete(u.active, key)
	if upload.sentBytes > 0 {
		u.meanBytes += uploadSizeWeight * (float64(upload.sentBytes) - u.meanBytes)
	}
}

// expectedBytes returns the bytes that the uploads in progress are expected to take
// on the link from now on. heldBytes returns those of a flow that wait for the link.
func (u *uploadAdmission) expectedBytes(now time.Time, heldBytes func(flow.Key) int) float64 {
	total := 0.0
	for key, upload := range u.active {
		held := heldBytes(key)
		if held == 0 && now.Sub(upload.lastPacketAt) > uploadIdleTime {
			u.end(key)
			continue
		}
		total += max(u.meanBytes-float64(upload.sentBytes-held), float64(held))
	}
	return total
}

// admits reports whether another upload is expected to pass the link within its share
// of the latency objective.
func (u *uploadAdmission) admits(now time.Time, link *egressScheduler, objective time.Duration) bool {
	if link.bytesPerSecond == 0 || len(u.active) == 0 {
		return true
	}
	expected := u.expectedBytes(now, link.heldBytes) + u.meanBytes
	return link.backlog(now)+link.transmissionTime(int(expected)) <= time.Duration(uploadObjectiveShare*float64(objective))
}
