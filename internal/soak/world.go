package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/platform/ends"
)

// Ports, the same on all VMs.
const (
	packetPort    = 18172
	outboundPort  = 18162
	readinessPort = 18167
	controlPort   = 18166
	appPort       = 18504
	internalPort  = 17720
	// relayOffset leads from a port to that of the relay.
	relayOffset = 1000
)

// The deployment: the first VMs have a disk and run control, and all of these run
// balancers. Losses of one voter at a time are to be borne.
const (
	voters         = 3
	balancers      = 5
	agents         = 5
	callers        = 24
	upstreamSlots  = 4
	firstBalancer  = 1
	firstAgent     = 101
	callerHosts    = 201
	serviceTime    = 15 * time.Millisecond
	agentsOfSecond = 2
)

// Bounds of the users' pages.
const (
	// contactTime is how long after an unplanned fault a VM may not be in touch.
	contactTime = 4 * time.Second
	drainTime   = 3 * time.Second
	// inForceTime is when an acknowledged desired state must be the one that is read.
	inForceTime = 3 * time.Second
	graceTime   = 6 * time.Second
	// recoveryTime is when service must be back after the last fault.
	recoveryTime = 12 * time.Second
)

var services = []string{"orders", "drying"}

// world is the deployment with its surroundings.
type world struct {
	options Options
	folder  string
	began   time.Time
	client  *http.Client
	relay   *relay
	fabric  *fabric
	control []*process
	balance []*process
	agents  []*process
	all     []*process

	counts struct{ served, refused, failed, reset, excused atomic.Int64 }

	mu        sync.Mutex
	upstreams map[netip.AddrPort]*upstream
	nextID    int
	runs      map[string]int
	// routes holds the services that any desired state has given to a virtual
	// address, and the versions that were sent.
	routes   map[netip.AddrPort]map[string]bool
	version  uint64
	acked    []ackedVersion
	breaches []string
	timeline []string
	// unplannedAt is when a process was last disturbed by an unplanned fault; a
	// time in the future stands for a fault that lasts.
	unplannedAt map[netip.Addr]time.Time
}

type ackedVersion struct {
	version uint64
	at      time.Time
}

// host returns an address of the deployment. Each seed has a network of its own.
func (w *world) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(80 + w.options.Network%100), 0, byte(i)})
}

func newWorld(o Options, folder string) *world {
	w := &world{
		options: o, folder: folder, began: time.Now(), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		relay: newRelay(relayOffset, o.Seed), upstreams: map[netip.AddrPort]*upstream{}, runs: map[string]int{},
		routes: map[netip.AddrPort]map[string]bool{}, unplannedAt: map[netip.Addr]time.Time{},
	}
	seeds := []netip.Addr{w.host(firstBalancer), w.host(firstBalancer + 1), w.host(firstBalancer + 2)}
	zone := func(i int) string { return string(rune('a' + i%3)) }
	for i := range balancers {
		s := ends.Settings{
			Name: fmt.Sprintf("edge-%d", i), Class: "edge", Zone: zone(i), Address: w.host(firstBalancer + i), Packets: packetPort,
			Readiness: readinessPort, Control: controlPort, Internal: internalPort, Seeds: seeds, FirstStart: true,
		}
		w.balance = append(w.balance, &process{program: "balancer", settings: s, world: w})
		if i < voters {
			s.DataFolder = filepath.Join(folder, "disk-"+s.Name)
			w.control = append(w.control, &process{program: "control", settings: s, world: w})
		}
	}
	for i := range agents {
		service := services[0]
		if i >= agents-agentsOfSecond {
			service = services[1]
		}
		address := w.host(firstAgent + i)
		w.agents = append(w.agents, &process{program: "agent", world: w, settings: ends.Settings{
			Name: fmt.Sprintf("side-%d", i), Class: "side", Zone: zone(i), Address: address, Packets: packetPort, Outbound: outboundPort,
			Readiness: readinessPort, Control: controlPort, Internal: internalPort, Seeds: seeds, FirstStart: true,
			Service: service, App: netip.AddrPortFrom(address, appPort),
		}})
	}
	w.all = append(append(append(w.all, w.control...), w.balance...), w.agents...)
	w.fabric = &fabric{world: w}
	return w
}

// start starts all processes and upstreams.
func (w *world) start() error {
	for _, p := range w.all {
		ports := []uint16{internalPort}
		switch p.program {
		case "control":
			ports = []uint16{internalPort + 1}
		case "agent":
			ports = append(ports, packetPort)
		}
		if err := w.relay.listen(p.address(), ports...); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, a := range w.agents {
		if err := w.startUpstream(a, w.newID()); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("i-%d", w.nextID)
}

// close ends everything that the soak has started.
func (w *world) close() {
	for _, p := range w.all {
		p.kill()
	}
	for _, u := range w.running() {
		u.crash()
	}
	w.relay.close()
}

// running returns the upstreams that run.
func (w *world) running() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.upstreams))
}

// note adds a line to the timeline.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeline = append(w.timeline, fmt.Sprintf("%7.3f %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...)))
}

// breach notes a broken promise.
func (w *world) breach(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	w.note("BREACH %s", line)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, line)
}

// ran notes that an upstream works on a request.
func (w *world) ran(u *upstream, key conversation, request string) {
	w.mu.Lock()
	w.runs[request]++
	again := w.runs[request] > 1
	w.mu.Unlock()
	if again {
		w.breach("TWICE", "request %s of %s ran again, at upstream %s", request, key.caller, u.id)
	}
}

// allowed reports whether any desired state gives a virtual address to a service.
func (w *world) allowed(virtual netip.AddrPort, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routes[virtual][service]
}

// disturb notes an unplanned fault on VMs until a time.
func (w *world) disturb(until time.Time, vms ...netip.Addr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range vms {
		if w.unplannedAt[vm].Before(until) {
			w.unplannedAt[vm] = until
		}
	}
}

// reset checks a reset of an open flow that its upstream did not send.
func (w *world) reset(key conversation) {
	// Upstreams take the lock of the world while they hold their own.
	var holder *upstream
	for _, u := range w.running() {
		if u.holds(key) {
			holder = u
		}
	}
	excused := false
	w.mu.Lock()
	for vm, until := range w.unplannedAt {
		relevant := holder != nil && (vm == holder.agent.address() || vm.As4()[3] < firstAgent)
		excused = excused || (relevant && time.Since(until) < contactTime)
	}
	w.mu.Unlock()
	switch {
	case holder == nil:
	case excused:
		w.counts.excused.Add(1)
	default:
		w.breach("FLOW", "flow %s to %s was reset, but upstream %s holds it", key.caller, key.virtual, holder.id)
	}
}

var virtuals = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:8443")}

// virtual draws the virtual address of a flow.
func (w *world) virtual(random *rand.Rand) netip.AddrPort {
	return virtuals[random.IntN(len(virtuals))]
}

// fabric hands flows to the balancers that are in rotation.
type fabric struct {
	world *world
	mu    sync.Mutex
	ready []netip.Addr
}

// run probes the readiness of the balancers twice a second. Two misses take one out.
func (f *fabric) run(ctx context.Context) {
	const interval, allowedMisses = 500 * time.Millisecond, 2
	misses := map[netip.Addr]int{}
	for ctx.Err() == nil {
		var ready []netip.Addr
		for _, p := range f.world.balance {
			if f.probe(ctx, p.address()) {
				misses[p.address()] = 0
				ready = append(ready, p.address())
			} else if misses[p.address()]++; misses[p.address()] < allowedMisses && f.contains(p.address()) {
				ready = append(ready, p.address())
			}
		}
		if len(ready) == 0 {
			for _, p := range f.world.balance {
				ready = append(ready, p.address())
			}
		}
		f.mu.Lock()
		f.ready = ready
		f.mu.Unlock()
		pause(ctx, interval)
	}
}

func (f *fabric) contains(a netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.ready {
		if r == a {
			return true
		}
	}
	return false
}

func (f *fabric) probe(ctx context.Context, vm netip.Addr) bool {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(vm, readinessPort).String()+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	response, err := f.world.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancer returns the one that gets the packets of a flow: when the rotation changes,
// only the flows of that balancer move.
func (f *fabric) balancer(key conversation) (best netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	score := uint64(0)
	for _, vm := range f.ready {
		if s := mix(uint64(vm.As4()[3])<<32 | uint64(key.caller.Port())<<8 | uint64(key.caller.Addr().As4()[3])); !ok || s > score {
			best, score, ok = vm, s, true
		}
	}
	return best, ok
}

// mix scrambles a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
