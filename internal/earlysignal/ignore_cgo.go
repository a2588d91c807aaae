//go:build cgo && linux

package earlysignal

/*
#include <signal.h>

// Runs before the Go runtime, which takes some milliseconds until it can catch signals. The
// runtime leaves an ignored SIGHUP ignored until signal.Notify. Nothing is lost: the
// settings are read later than that.
__attribute__((constructor)) static void ignore_early_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
