// Command standin-2 plays the script cases of the second review: it starts the programs of
// the project as separate processes on loopback addresses, with stand-ins for consumers,
// servers, the operator and the routers.
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The services and routes of all cases.
const (
	feedService = "orders"
	logService  = "kilnlog"
)

var (
	feedRoute = netip.MustParseAddrPort("127.255.0.1:8443")
	logRoute  = netip.MustParseAddrPort("127.255.0.2:8443")
)

// machines are the processes of the small deployment of all cases.
type machines struct {
	controls, balancers, agents []*process
}

// startSmall starts three edge machines with disks in three zones, a second edge machine in
// zone-a, and side machines.
func (w *world) startSmall(agents int) (*machines, error) {
	m := &machines{}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	seeds := []netip.Addr{w.host(1), w.host(2), w.host(3)}
	for i, zone := range zones {
		name := fmt.Sprintf("edge-%d", i+1)
		m.controls = append(m.controls, w.newProcess("control", name, zone, i+1, seeds, w.folder+"/disk-"+name, ""))
		m.balancers = append(m.balancers, w.newProcess("balancer", name, zone, i+1, seeds, "", ""))
	}
	m.balancers = append(m.balancers, w.newProcess("balancer", "edge-4", "zone-a", 4, seeds, "", ""))
	for i := range agents {
		m.agents = append(m.agents, w.newProcess("agent", fmt.Sprintf("side-%d", i+1), "zone-a", 20+i, seeds, "", feedService))
	}
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// zoneBalancers returns the balancers of zone-a.
func (m *machines) zoneBalancers() []*process { return []*process{m.balancers[0], m.balancers[3]} }

// awaitRotation waits until all balancers of the router are in rotation.
func (w *world) awaitRotation() error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, b := range w.router.balancers {
			all = all && w.router.inRotation(b)
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the balancers are not in rotation")
}

// cases are the cases by name. They get whether the disruption is on.
var cases = map[string]func(w *world, trouble bool) error{
	"port-reuse":       portReuse,
	"foreign-check-in": foreignCheckIn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, recordPath string, trouble bool) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.log("case %s, disruption on: %v", name, trouble)
	result := make(chan error, 1)
	go func() { result <- cases[name](w, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case <-signals:
		err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	w.mu.Lock()
	breaks := len(w.breaks)
	w.mu.Unlock()
	switch {
	case breaks > 0:
		w.log("result: the rule was broken %d times", breaks)
		fmt.Printf("%s: broken %d times\n", name, breaks)
		return 1
	case err != nil:
		w.log("result: could not run: %v", err)
		fmt.Printf("%s: could not run: %v\n", name, err)
		return 2
	}
	w.log("result: the rule held")
	fmt.Printf("%s: held\n", name)
	return 0
}
