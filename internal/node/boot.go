package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTimeMargin covers the rounding of the uptime to seconds and small steps of
// the clock.
const bootTimeMargin = 2 * time.Second

// bootTime returns when the VM was booted, or zero if the uptime cannot be read. A
// reboot ends the kernel's connections, so flows from before that time have ended.
func bootTime(now time.Time) time.Time {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(info.Uptime)*time.Second - bootTimeMargin)
}
