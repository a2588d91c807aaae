package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds in the settings, as in the settings of a small deployment.
const (
	contactTime       = 4 * time.Second
	drainTime         = 3 * time.Second
	graceTime         = 6 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	startTime         = 10 * time.Second
)

// world is a deployment on loopback addresses with its stand-ins.
type world struct {
	folder   string
	started  time.Time
	network  [2]byte
	basePort uint16
	client   *http.Client

	mu        sync.Mutex
	record    *os.File
	processes []*process
	servers   []*server
	consumers []*consumer
	router    *router
	breaks    []string
	version   int
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, started: time.Now(), record: record, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range 50 {
		w.network = [2]byte{byte(64 + rand.IntN(180)), byte(rand.IntN(250))}
		w.basePort = uint16(18_000 + rand.IntN(300)*40)
		if w.portsFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (w *world) portsFree() bool {
	for _, port := range []uint16{w.datagramPort(), w.controlPort(), w.internalPort(), w.internalPort() + 1} {
		conn, err := net.ListenPacket("udp4", netip.AddrPortFrom(w.host(1), port).String())
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}

func (w *world) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(i)})
}

func (w *world) datagramPort() uint16  { return w.basePort }
func (w *world) outboundPort() uint16  { return w.basePort + 1 }
func (w *world) readinessPort() uint16 { return w.basePort + 2 }
func (w *world) controlPort() uint16   { return w.basePort + 3 }
func (w *world) appPort() uint16       { return w.basePort + 4 }
func (w *world) internalPort() uint16  { return w.basePort + 10 }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (w *world) broken(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.log("BROKEN %s", line)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = append(w.breaks, line)
}

// process is one program of the project.
type process struct {
	world    *world
	name     string
	program  string
	metrics  int
	ip       netip.Addr
	zone     string
	settings map[string]any
	path     string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// newProcess prepares a process. role is balancer, control or agent.
func (w *world) newProcess(role, machine, zone string, host int, seeds []netip.Addr, diskFolder, service string) *process {
	ip := w.host(host)
	address := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	bind := map[string]any{}
	class, serves := "edge", "edge"
	switch role {
	case "balancer":
		bind["datagram_addr"], bind["readiness_addr"] = address(w.datagramPort()), address(w.readinessPort())
	case "control":
		serves = "control"
		bind["control"] = address(w.controlPort())
	case "agent":
		class, serves = "side", "side"
		bind["datagram_addr"], bind["outbound"], bind["readiness_addr"], bind["control"] = address(w.datagramPort()), address(w.outboundPort()), address(w.readinessPort()), address(w.controlPort())
	}
	var seedList []string
	for _, seed := range seeds {
		seedList = append(seedList, netip.AddrPortFrom(seed, w.controlPort()).String())
	}
	limits := map[string]any{"cpu_share": 0.416, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	settings := map[string]any{
		"node_name": machine, "role": role, "machine_class": class, "serves": []string{serves}, "ip": ip.String(), "zone": zone, "region": "region-1",
		"zones": map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}, "bind_addrs": bind,
		"internal_port_range": []uint16{w.internalPort(), w.internalPort() + 15}, "seeds": seedList, "bootstrap": true, "counts_for_tolerance": diskFolder != "",
		"limits": limits, "data_dir": nil, "discovery": "local", "entry": "announce", "heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows"}, "fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 5000, "catch_up_s": 4, "drain_ms": drainTime.Milliseconds(), "grace_s": 6,
			"loss_slack_ms": 200, "config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12, "flow_ms": 2000, "max_flow_s": 60,
		},
		"config_mode": "highest", "hash": "steady", "deployment_mode": "agent",
	}
	if diskFolder != "" {
		settings["data_dir"] = diskFolder
		limits["disk_mb"] = 64
	}
	if role == "agent" {
		settings["service"], settings["app"] = service, address(w.appPort())
	}
	metrics := map[string]int{"balancer": 9101, "agent": 9102, "control": 9103}[role]
	p := &process{world: w, name: machine + "/" + role, program: "target/platform-" + role, metrics: metrics, ip: ip, zone: zone, settings: settings}
	p.path = filepath.Join(w.folder, strings.ReplaceAll(p.name, "/", "-")+".json")
	w.processes = append(w.processes, p)
	return p
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	content, err := json.MarshalIndent(p.settings, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path, content, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(p.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, "--metrics-port", fmt.Sprint(p.metrics))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYHOLD_SETTINGS=" + p.path}
	command.Stdout, command.Stderr = output, output
	// The processes end with this one, whatever ends it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	p.world.log("%s started", p.name)
	go func() {
		_ = command.Wait()
		_ = output.Close()
		p.world.log("%s ended", p.name)
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.log("%s gets %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

// waitEnd waits until the process has ended, at most for the grace time, and kills it then.
func (p *process) waitEnd() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// restart stops the process with SIGTERM and starts it again after a short delay, without
// bootstrap.
func (p *process) restart() error {
	p.signal(syscall.SIGTERM)
	p.waitEnd()
	time.Sleep(200 * time.Millisecond)
	p.settings["bootstrap"] = false
	return p.start()
}

// close ends everything that was started.
func (w *world) close() {
	for _, s := range w.servers {
		s.stop()
	}
	for _, p := range w.processes {
		p.mu.Lock()
		command, done := p.command, p.done
		p.mu.Unlock()
		if command != nil {
			_ = command.Process.Signal(syscall.SIGCONT)
			_ = command.Process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		w.log("logs are kept in %s", w.folder)
	}
	_ = w.record.Close()
}

// call makes an HTTP call and returns its status, or 0 if there was no response.
func (w *world) call(method, url string, body []byte) (int, string) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// putConfig sends a desired state to the control processes in turn until it is acknowledged.
func (w *world) putConfig(routes []map[string]any, services ...string) error {
	w.version += 7
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	body, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, p := range w.processes {
			if !strings.HasSuffix(p.name, "/control") {
				continue
			}
			status, text := w.call(http.MethodPut, "http://"+netip.AddrPortFrom(p.ip, w.controlPort()).String()+"/config", body)
			w.log("operator: PUT /config version %d at %s: %d %.120s", w.version, p.name, status, strings.TrimSpace(text))
			if status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("the desired state was not acknowledged")
}

// route returns a route to one service.
func route(name string, address netip.AddrPort, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", address.Port()), "type": kind, "timeout_ms": 1500, "slo_ms": 250,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

// router is the stand-in for the routers of the platform.
type router struct {
	world     *world
	balancers []*process
	mu        sync.Mutex
	misses    map[*process]int
	out       map[*process]bool
	stopped   chan struct{}
}

func (w *world) newRouter(balancers []*process) *router {
	r := &router{world: w, balancers: balancers, misses: map[*process]int{}, out: map[*process]bool{}, stopped: make(chan struct{})}
	for _, b := range balancers {
		r.out[b] = true
	}
	w.router = r
	go r.probe()
	return r
}

// probe sends GET /readiness twice per second to each balancer. After two misses it is out
// of rotation until it responds with 200 again.
func (r *router) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, b := range r.balancers {
			ready := false
			if response, err := client.Get("http://" + netip.AddrPortFrom(b.ip, r.world.readinessPort()).String() + "/readiness"); err == nil {
				ready = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			r.note(b, ready)
		}
		select {
		case <-r.stopped:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) note(b *process, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasOut := r.out[b]
	if ready {
		r.misses[b], r.out[b] = 0, false
	} else if r.misses[b]++; r.misses[b] >= 2 {
		r.out[b] = true
	}
	if wasOut != r.out[b] {
		r.world.log("router: %s in rotation: %v", b.name, !r.out[b])
	}
}

func (r *router) inRotation(b *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.out[b]
}

// pick returns the balancer for a flow: only the flows of a balancer that joins or leaves
// the rotation move. Fewer than half in rotation means that all are used.
func (r *router) pick(key flowKey) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*process
	for _, b := range r.balancers {
		if !r.out[b] {
			in = append(in, b)
		}
	}
	if 2*len(in) < len(r.balancers) {
		in = r.balancers
	}
	var best *process
	var bestScore uint64
	for _, b := range in {
		ip := b.ip.As4()
		if score := mix(uint64(ip[3])<<40 ^ uint64(key.consumer.Port())<<8 ^ uint64(key.consumer.Addr().As4()[3]) ^ uint64(key.route.Port())<<24); best == nil || score > bestScore {
			best, bestScore = b, score
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
