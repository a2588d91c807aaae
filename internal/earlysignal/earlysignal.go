// Package earlysignal catches the signals of a program while its other packages are still
// initialized. The package imports nothing else of the project, so that the Go runtime
// initializes it among the first.
//
// The default action of SIGHUP ends a process. A program that catches it only when its
// service runs is ended by a change of its settings that comes while it starts.
package earlysignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// received has room for the signals that arrive before Handle is called.
var received = make(chan os.Signal, 16)

func init() {
	signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
}

// Handle returns a context that ends with the first SIGTERM or interrupt, and a channel
// that receives a value after SIGHUP. Signals from before the call count. A second SIGTERM
// or interrupt ends the process at once. Handle must be called once.
func Handle(parent context.Context) (ctx context.Context, reloads <-chan struct{}) {
	ctx, cancel := context.WithCancel(parent)
	pending := make(chan struct{}, 1)
	go func() {
		for s := range received {
			if s != syscall.SIGHUP {
				signal.Reset(syscall.SIGTERM, os.Interrupt)
				cancel()
				continue
			}
			select {
			case pending <- struct{}{}:
			default: // A reload that has not begun yet reads the latest settings.
			}
		}
	}()
	return ctx, pending
}
