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

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// The ports, which are the same on all VMs.
const (
	packetPort    = 18172
	outboundPort  = 18162
	readinessPort = 18167
	controlPort   = 18166
	appPort       = 18504
	internalPort  = 17720
	// relayOffset is added to a port to get the port on which the relay receives
	// datagrams for it.
	relayOffset = 1000
)

// The size of the deployment. Every entry VM runs a balancer. The first voterCount of
// them also have a disk and run a control process. The deployment must tolerate the
// loss of one voter at a time.
const (
	voterCount    = 3
	balancerCount = 5
	agentCount    = 5
	callerCount   = 24
	upstreamSlots = 4
	// The last octet of the first address of each kind.
	firstBalancerHost = 1
	firstAgentHost    = 101
	firstCallerHost   = 201
	// requestDuration is the time for which an upstream processes a request.
	requestDuration = 15 * time.Millisecond
	// secondServiceAgents is the number of agents, the last ones, whose upstreams
	// belong to the second service.
	secondServiceAgents = 2
)

// Bounds that the user documentation states.
const (
	// reachableAfter is the time after an unplanned fault within which a VM may
	// be unreachable. A reset of a flow is tolerated until then.
	reachableAfter = 4 * time.Second
	// maxDrainTime is the time after an acknowledged leave during which an upstream
	// may still receive openings.
	maxDrainTime = 3 * time.Second
	// maxApplyTime is the time after its acknowledgement within which every
	// control process must return a desired state.
	maxApplyTime = 3 * time.Second
	// catchUpTime is the time after its start within which a control process must have all
	// changes.
	catchUpTime = 4 * time.Second
	// stopGracePeriod is the time within which a process must exit after SIGTERM.
	stopGracePeriod = 6 * time.Second
	// maxRecoveryTime is the time after the last fault within which requests must
	// be served again.
	maxRecoveryTime = 12 * time.Second
)

var serviceNames = []string{"orders", "drying"}

// deployment is the set of processes under test, with the stand-ins around them and
// the observations that the checks need.
type deployment struct {
	options   Options
	folder    string
	startedAt time.Time
	client    *http.Client
	relay     *relay
	fabric    *fabric
	controls  []*process
	balancers []*process
	agents    []*process
	processes []*process

	counters struct{ served, refused, failed, reset, resetAfterFault atomic.Int64 }

	mu                 sync.Mutex
	upstreams          map[netip.AddrPort]*upstream
	lastUpstreamNumber int
	// executions counts the executions of each request by its ID.
	executions map[string]int
	// routedServices holds, by virtual address, the services to which any version
	// of the desired state has routed it.
	routedServices map[netip.AddrPort]map[string]bool
	lastVersion    uint64
	// successors is the number of control processes that were started to replace others.
	successors   int
	acknowledged []acknowledgedVersion
	breaches     []string
	timeline     []string
	// faultEnds is the end of the last unplanned fault of each VM. It is in the
	// future while the fault lasts.
	faultEnds map[netip.Addr]time.Time
	// zoneOut is the zone whose order out of service was acknowledged at zoneOutSince, or
	// "".
	zoneOut      string
	zoneOutSince time.Time
}

type acknowledgedVersion struct {
	version uint64
	at      time.Time
}

// hostAddress returns an address of the deployment. Concurrent runs have different
// networks.
func (d *deployment) hostAddress(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(80 + d.options.Network%100), 0, byte(i)})
}

func newDeployment(options Options, folder string) *deployment {
	d := &deployment{
		options: options, folder: folder, startedAt: time.Now(), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		relay: newRelay(relayOffset, options.Seed), upstreams: map[netip.AddrPort]*upstream{}, executions: map[string]int{},
		routedServices: map[netip.AddrPort]map[string]bool{}, faultEnds: map[netip.Addr]time.Time{},
	}
	seeds := []netip.Addr{d.hostAddress(firstBalancerHost), d.hostAddress(firstBalancerHost + 1), d.hostAddress(firstBalancerHost + 2)}
	zone := func(i int) string { return zoneNames[i%len(zoneNames)] }
	for i := range balancerCount {
		settings := platformtest.Settings{
			Name: fmt.Sprintf("edge-%d", i), Class: "edge", Zone: zone(i), Address: d.hostAddress(firstBalancerHost + i), PacketPort: packetPort,
			ReadinessPort: readinessPort, ControlPort: controlPort, InternalPort: internalPort, Seeds: seeds, FirstStart: true,
		}
		d.balancers = append(d.balancers, &process{program: "balancer", settings: settings, deployment: d})
		if i < voterCount {
			settings.DataFolder = filepath.Join(folder, "disk-"+settings.Name)
			d.controls = append(d.controls, &process{program: "control", settings: settings, deployment: d})
		}
	}
	for i := range agentCount {
		service := serviceNames[0]
		if i >= agentCount-secondServiceAgents {
			service = serviceNames[1]
		}
		address := d.hostAddress(firstAgentHost + i)
		d.agents = append(d.agents, &process{program: "agent", deployment: d, settings: platformtest.Settings{
			Name: fmt.Sprintf("side-%d", i), Class: "side", Zone: zone(i), Address: address, PacketPort: packetPort, OutboundPort: outboundPort,
			ReadinessPort: readinessPort, ControlPort: controlPort, InternalPort: internalPort, Seeds: seeds, FirstStart: true,
			Service: service, App: netip.AddrPortFrom(address, appPort),
		}})
	}
	d.processes = append(append(append(d.processes, d.controls...), d.balancers...), d.agents...)
	d.fabric = &fabric{deployment: d}
	return d
}

// startAll starts the relay and all processes and upstreams.
func (d *deployment) startAll() error {
	for _, p := range d.processes {
		ports := []uint16{internalPort}
		switch p.program {
		case "control":
			ports = []uint16{internalPort + 1}
		case "agent":
			ports = append(ports, packetPort)
		}
		if err := d.relay.listen(p.address(), ports...); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, a := range d.agents {
		if err := d.startUpstream(a, d.newUpstreamID()); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) newUpstreamID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastUpstreamNumber++
	return fmt.Sprintf("i-%d", d.lastUpstreamNumber)
}

// stopAll stops everything that the deployment has started.
func (d *deployment) stopAll() {
	for _, p := range d.allProcesses() {
		p.kill()
	}
	for _, u := range d.runningUpstreams() {
		u.stop()
	}
	d.relay.close()
}

// runningUpstreams returns a copy of the set of running upstreams.
func (d *deployment) runningUpstreams() []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.upstreams))
}

// logEvent adds a line to the timeline.
func (d *deployment) logEvent(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timeline = append(d.timeline, fmt.Sprintf("%7.3f %s", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// recordBreach records that a check failed. kind is the kind of the breach.
func (d *deployment) recordBreach(kind, format string, args ...any) {
	line := kind + ": " + fmt.Sprintf(format, args...)
	d.logEvent("BREACH %s", line)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breaches = append(d.breaches, line)
}

// recordExecution records that an upstream executes a request, and checks that it is
// the first execution.
func (d *deployment) recordExecution(u *upstream, key flowKey, request string) {
	d.mu.Lock()
	d.executions[request]++
	repeated := d.executions[request] > 1
	d.mu.Unlock()
	if repeated {
		d.recordBreach("TWICE", "request %s of %s was executed again, by upstream %s", request, key.callerAddress, u.id)
	}
}

// isRouted reports whether any version of the desired state routes a virtual address
// to a service.
func (d *deployment) isRouted(virtualAddress netip.AddrPort, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routedServices[virtualAddress][service]
}

// recordUnplannedFault records that VMs are disturbed until end.
func (d *deployment) recordUnplannedFault(end time.Time, addresses ...netip.Addr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if d.faultEnds[address].Before(end) {
			d.faultEnds[address] = end
		}
	}
}

// checkReset checks a reset that a caller received for an established flow. It is a
// breach if an upstream still holds the flow, unless an unplanned fault disturbed the
// agent or an entry VM shortly before.
func (d *deployment) checkReset(key flowKey) {
	// Upstreams lock d.mu while they hold their own lock. So holdsFlow must not
	// be called with d.mu locked.
	var holder *upstream
	for _, u := range d.runningUpstreams() {
		if u.holdsFlow(key) {
			holder = u
		}
	}
	afterFault := false
	d.mu.Lock()
	for address, faultEnd := range d.faultEnds {
		relevant := holder != nil && (address == holder.agent.address() || address.As4()[3] < firstAgentHost)
		afterFault = afterFault || (relevant && time.Since(faultEnd) < reachableAfter)
	}
	d.mu.Unlock()
	switch {
	case holder == nil:
	case afterFault:
		d.counters.resetAfterFault.Add(1)
	default:
		d.recordBreach("FLOW", "flow %s to %s was reset, but upstream %s holds it", key.callerAddress, key.virtualAddress, holder.id)
	}
}

var virtualAddresses = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:8443")}

// randomVirtualAddress draws the virtual address of a flow.
func (d *deployment) randomVirtualAddress(random *rand.Rand) netip.AddrPort {
	return virtualAddresses[random.IntN(len(virtualAddresses))]
}

// fabric is a stand-in for the network that distributes flows to the balancers in
// rotation.
type fabric struct {
	deployment *deployment
	mu         sync.Mutex
	inRotation []netip.Addr
}

// runHealthChecks probes the readiness of the balancers twice a second. A balancer
// leaves the rotation after two failed probes in a row. If none is left, all are in
// rotation.
func (f *fabric) runHealthChecks(ctx context.Context) {
	const interval, allowedMisses = 500 * time.Millisecond, 2
	misses := map[netip.Addr]int{}
	for ctx.Err() == nil {
		var inRotation []netip.Addr
		for _, p := range f.deployment.balancers {
			if f.isReady(ctx, p.address()) {
				misses[p.address()] = 0
				inRotation = append(inRotation, p.address())
			} else if misses[p.address()]++; misses[p.address()] < allowedMisses && f.isInRotation(p.address()) {
				inRotation = append(inRotation, p.address())
			}
		}
		if len(inRotation) == 0 {
			for _, p := range f.deployment.balancers {
				inRotation = append(inRotation, p.address())
			}
		}
		f.mu.Lock()
		f.inRotation = inRotation
		f.mu.Unlock()
		sleepContext(ctx, interval)
	}
}

func (f *fabric) isInRotation(address netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range f.inRotation {
		if member == address {
			return true
		}
	}
	return false
}

func (f *fabric) isReady(ctx context.Context, address netip.Addr) bool {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(address, readinessPort).String()+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	response, err := f.deployment.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancerFor returns the balancer that receives the packets of a flow, by rendezvous
// hashing. If a balancer leaves or joins the rotation, only its own flows move.
func (f *fabric) balancerFor(key flowKey) (best netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bestScore := uint64(0)
	for _, address := range f.inRotation {
		if flowScore := mixBits(uint64(address.As4()[3])<<32 | uint64(key.callerAddress.Port())<<8 | uint64(key.callerAddress.Addr().As4()[3])); !ok || flowScore > bestScore {
			best, bestScore, ok = address, flowScore, true
		}
	}
	return best, ok
}

// mixBits hashes a number with the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
