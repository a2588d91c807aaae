package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that ends with the first SIGTERM or interrupt,
// which starts a graceful stop. The default action of the signals is then restored,
// so that a second signal ends the program immediately.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
