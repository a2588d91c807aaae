package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootMargin covers the rounding of the uptime and small steps of the clock.
const bootMargin = 2 * time.Second

// bootTime returns when the VM was booted, or zero if that is not known. The
// kernel's connections of an earlier boot are gone, and so are their flows.
func bootTime(now time.Time) time.Time {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(info.Uptime)*time.Second - bootMargin)
}
