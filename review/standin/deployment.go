//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, which are the same on all machines of a day.
const (
	datagramPort  = 8172
	outboundPort  = 8162
	readinessPort = 8167
	controlPort   = 8166
	appPort       = 8504
	internalPort  = 7720
	internalLast  = 7735
)

// Bounds of the small deployments, in milliseconds (SYSTEM.md).
const (
	contact           = 4000 * time.Millisecond
	catchUp           = 4 * time.Second
	configPropagation = 3000 * time.Millisecond
	recovery          = 12 * time.Second
	grace             = 6 * time.Second
	maxFlowAge        = 60 * time.Second
	checkInInterval   = 1200 * time.Millisecond
)

// commands has the command of each role in deploy/system.toml.
var commands = map[string][]string{
	"balancer": {"target/platform-balancer", "--metrics-port", "9101"},
	"agent":    {"target/platform-agent", "--metrics-port", "9102"},
	"control":  {"target/platform-control", "--metrics-port", "9103"},
}

// deployment is a small deployment on loopback addresses of one network.
type deployment struct {
	network   byte
	folder    string
	startedAt time.Time
	record    *os.File

	mu        sync.Mutex
	processes []*process
	servers   []*server
	ended     []string
}

// machine is a machine of the deployment.
type machine struct {
	d        *deployment
	name     string
	class    string
	zone     string
	address  netip.Addr
	dataRoot string
	service  string
	roles    []string
	running  []*process
}

// process is a running program.
type process struct {
	name     string
	command  *exec.Cmd
	exited   chan struct{}
	stopping bool
}

func newDeployment(recordPath string) (*deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	d := &deployment{folder: folder, startedAt: time.Now(), record: record}
	// Another network is used if something listens in the first one.
	for network := 60 + byte(os.Getpid()%150); ; network++ {
		address := netip.AddrFrom4([4]byte{127, network, 7, 1})
		listener, err := net.Listen("tcp", netip.AddrPortFrom(address, controlPort).String())
		if err == nil {
			d.network = network
			return d, listener.Close()
		}
		if network == 250 {
			return nil, fmt.Errorf("no free loopback network: %w", err)
		}
	}
}

func (d *deployment) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, 7, byte(i)})
}

// recordf writes a line with the time since the start into the record.
func (d *deployment) recordf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Print(line)
	_, _ = d.record.WriteString(line)
}

// ownEnds returns the processes that ended by themselves.
func (d *deployment) ownEnds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// close ends all processes and servers, and removes the temporary folder. The folder is
// kept if the variable KEEP is set.
func (d *deployment) close() {
	d.mu.Lock()
	processes, servers := d.processes, d.servers
	d.mu.Unlock()
	for _, p := range processes {
		d.end(p, syscall.SIGKILL)
	}
	for _, s := range servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
	_ = d.record.Close()
}

// addEdge adds an edge machine with a balancer. With a disk it also serves control.
func (d *deployment) addEdge(index int, zone string, disk bool) *machine {
	m := &machine{d: d, name: fmt.Sprintf("edge-%s-%d", zone, index), class: "edge", zone: zone, address: d.host(index), roles: []string{"balancer"}}
	if disk {
		m.dataRoot = filepath.Join(d.folder, m.name)
		m.roles = append(m.roles, "control")
	}
	return m
}

// addSide adds the machine of a server.
func (d *deployment) addSide(index int, zone, service string) *machine {
	return &machine{d: d, name: fmt.Sprintf("side-%s-%d", zone, index), class: "side", zone: zone, address: d.host(100 + index), service: service, roles: []string{"agent"}}
}

// start starts the processes of a machine. seeds are the control addresses in its
// settings.
func (m *machine) start(seeds []*machine, bootstrap bool) error {
	m.running = nil
	for _, role := range m.roles {
		p, err := m.startRole(role, seeds, bootstrap)
		if err != nil {
			return fmt.Errorf("start %s of %s: %w", role, m.name, err)
		}
		m.running = append(m.running, p)
	}
	m.d.recordf("machine %s (%s) starts %s", m.name, m.address, strings.Join(m.roles, " and "))
	return nil
}

func (m *machine) startRole(role string, seeds []*machine, bootstrap bool) (*process, error) {
	prefix := filepath.Join(m.d.folder, m.name+"-"+role)
	settings, err := m.settings(role, seeds, bootstrap)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(prefix+".json", settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(prefix+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	words := commands[role]
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYHOLD_SETTINGS=" + prefix + ".json"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: m.name + "/" + role, command: command, exited: make(chan struct{})}
	m.d.mu.Lock()
	m.d.processes = append(m.d.processes, p)
	m.d.mu.Unlock()
	go func() {
		err := command.Wait()
		m.d.mu.Lock()
		if !p.stopping {
			m.d.ended = append(m.d.ended, fmt.Sprintf("%s: %v", p.name, err))
		}
		m.d.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// settings returns the settings file of a role, as DEPLOY.md describes it.
func (m *machine) settings(role string, seeds []*machine, bootstrap bool) ([]byte, error) {
	at := func(port uint16) string { return netip.AddrPortFrom(m.address, port).String() }
	bind := map[string]string{}
	serves := []string{}
	switch role {
	case "balancer":
		bind["datagram_addr"], bind["readiness_addr"] = at(datagramPort), at(readinessPort)
		serves = append(serves, "edge")
	case "control":
		bind["control"] = at(controlPort)
		serves = append(serves, "control")
	case "agent":
		bind["datagram_addr"], bind["readiness_addr"], bind["control"], bind["outbound"] = at(datagramPort), at(readinessPort), at(controlPort), at(outboundPort)
		serves = append(serves, "side")
	}
	seedAddresses := []string{}
	for _, seed := range seeds {
		seedAddresses = append(seedAddresses, netip.AddrPortFrom(seed.address, controlPort).String())
	}
	settings := map[string]any{
		"node_name": m.name, "role": role, "machine_class": m.class, "serves": serves, "ip": m.address.String(), "zone": m.zone,
		"region": "si-central", "zones": map[string]string{"kamnik-a": "si-central", "kamnik-b": "si-central", "ljubljana-c": "si-central"},
		"bind_addrs": bind, "internal_port_range": []int{internalPort, internalLast}, "seeds": seedAddresses, "bootstrap": bootstrap,
		"counts_for_tolerance": m.dataRoot != "", "limits": map[string]any{"cpu_share": 0.416, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"discovery": "local", "entry": "announce", "heartbeat_interval_ms": 1200, "contracts": []string{"base", "drain", "config", "cost", "recover", "flows"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
			"config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12, "flow_ms": 2000, "max_flow_s": 60,
		},
		"config_mode": "highest", "hash": "steady", "deployment_mode": "agent",
	}
	if m.dataRoot != "" {
		dataFolder := filepath.Join(m.dataRoot, role)
		if err := os.MkdirAll(dataFolder, 0o700); err != nil {
			return nil, err
		}
		settings["data_dir"] = dataFolder
	}
	if role == "agent" {
		settings["service"], settings["app"] = m.service, at(appPort)
	}
	return json.Marshal(settings)
}

// end sends a signal that ends a process, and waits for its end. After SIGTERM it sends
// SIGKILL when the grace period has passed.
func (d *deployment) end(p *process, signal syscall.Signal) {
	d.mu.Lock()
	p.stopping = true
	d.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.command.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(grace):
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// stop ends the processes of a machine at the same time.
func (m *machine) stop(signal syscall.Signal) {
	m.d.recordf("machine %s gets %s", m.name, signal)
	var group sync.WaitGroup
	for _, p := range m.running {
		group.Add(1)
		go func() { defer group.Done(); m.d.end(p, signal) }()
	}
	group.Wait()
	m.d.recordf("machine %s has stopped", m.name)
}

// loseDisk removes the files of a machine.
func (m *machine) loseDisk() error {
	m.d.recordf("machine %s loses its disk", m.name)
	return os.RemoveAll(m.dataRoot)
}
