package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"bramleyhold.example/bramleyhold/platform"
	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// process is one operating system process of the deployment.
type process struct {
	program    string
	settings   platformtest.Settings
	deployment *deployment

	// faultLock is held while a fault disturbs the process.
	faultLock sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// stopRequested is set once the soak has sent a signal that ends the
	// process. An exit without it is a breach.
	stopRequested bool
}

func (p *process) name() string { return p.settings.Name + "/" + p.program }

func (p *process) address() netip.Addr { return p.settings.Address }

// start runs the program with the current settings.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	filePrefix := filepath.Join(p.deployment.folder, p.settings.Name+"-"+p.program)
	if err := os.WriteFile(filePrefix+".json", p.settings.Encode(), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name(), err)
	}
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return fmt.Errorf("data folder of %s: %w", p.name(), err)
		}
	}
	log, err := os.OpenFile(filePrefix+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name(), err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(p.deployment.options.ProgramFolder, "platform-"+p.program), "--relay-offset", strconv.Itoa(relayOffset)) //nolint:gosec // Runs only the platform programs.
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filePrefix+".json")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name(), err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := !p.stopRequested
		p.mu.Unlock()
		close(exited)
		if unexpected {
			p.deployment.recordBreach("EXIT", "%s exited without a stop request: %v", p.name(), err)
		}
	}()
	// Later starts must not use the settings of the first start.
	p.settings.FirstStart = false
	return nil
}

// copySettings returns a copy of the current settings.
func (p *process) copySettings() platformtest.Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// setSeeds sets the seeds that later starts of the process get.
func (p *process) setSeeds(seeds []netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Seeds = seeds
}

// signal sends a signal to the process if it runs. expectExit is set for signals that
// end the process.
func (p *process) signal(sig syscall.Signal, expectExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopRequested = p.stopRequested || expectExit
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig) // The process may have ended meanwhile.
	}
}

// stop ends the process with SIGTERM, and kills it after stopGracePeriod.
func (p *process) stop() {
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.exited:
	case <-time.After(stopGracePeriod):
		p.deployment.recordBreach("STOP", "%s did not end within %s of SIGTERM", p.name(), stopGracePeriod)
		p.kill()
	}
}

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT, true)
	p.signal(syscall.SIGKILL, true)
	if p.exited != nil {
		<-p.exited
	}
}
