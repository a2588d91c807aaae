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
	"bramleyhold.example/bramleyhold/platform/ends"
)

// process is one program of the deployment.
type process struct {
	program  string
	settings ends.Settings
	world    *world

	// busy is held while a fault disturbs the process.
	busy sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// stopping: the soak has asked the process to end, or killed it.
	stopping bool
}

func (p *process) name() string { return p.settings.Name + "/" + p.program }

func (p *process) address() netip.Addr { return p.settings.Address }

// start runs the program with the present settings.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	base := filepath.Join(p.world.folder, p.settings.Name+"-"+p.program)
	if err := os.WriteFile(base+".json", p.settings.Encode(), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name(), err)
	}
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return fmt.Errorf("data folder of %s: %w", p.name(), err)
		}
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name(), err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(p.world.options.Programs, "platform-"+p.program), "--relay-offset", strconv.Itoa(relayOffset)) //nolint:gosec // Our own programs.
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+base+".json")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name(), err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopping = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := !p.stopping
		p.mu.Unlock()
		close(exited)
		if unexpected {
			p.world.breach("EXIT", "%s ended by itself: %v", p.name(), err)
		}
	}()
	// Whoever stops the process holds on to the settings of now.
	p.settings.FirstStart = false
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopping = p.stopping || ends
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // It may just have ended.
	}
}

// stop ends the process gracefully, or by force after the grace time.
func (p *process) stop() {
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.world.breach("STOP", "%s did not end within %s of SIGTERM", p.name(), graceTime)
		p.kill()
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT, true)
	p.signal(syscall.SIGKILL, true)
	if p.exited != nil {
		<-p.exited
	}
}
