//go:build review

// Command standin plays one case of the review. It starts the platform's programs with
// the commands of the deploy file on loopback addresses, plays the operator, the
// consumers and the servers around them, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxCaseDuration ends a case that hangs.
const maxCaseDuration = 118 * time.Second

// cases maps the name of a case to its play. A play returns whether the rule was
// broken, and an error if it could not be carried out.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"core-replacement": playCoreReplacement,
	"idle-timeout":     playIdleTimeout,
	"early-hup":        playEarlyHUP,
	"snapshot-install": playSnapshotInstall,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseDuration)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer d.close()
	d.recordf("case %s, trouble %t", name, trouble)
	broken, err := cases[name](ctx, d, trouble)
	switch {
	case err != nil:
		d.recordf("the case could not run: %v", err)
		return exitCannotRun
	case len(d.ownEnds()) > 0 && name != "early-hup":
		d.recordf("processes ended by themselves: %v", d.ownEnds())
		return exitCannotRun
	case broken:
		d.recordf("result: the rule was broken")
		return exitBroken
	}
	d.recordf("result: the rule held")
	return exitHeld
}

// sleep waits, or returns early if the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
