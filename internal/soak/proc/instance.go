package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

// Instance is one process of lentildeckd; it may have several lives.
type Instance struct {
	site.Instance
	// Binary is the program, Settings its settings file.
	Binary, Settings string
	Trail            *trail.Trail

	log  *os.File
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// ordered is true once this side has ended the present life.
	ordered bool
	ownEnds int
}

// New writes the settings file and opens the log in the folder.
func New(s site.Site, i site.Instance, binary, folder string, seen *trail.Trail) (*Instance, error) {
	p := &Instance{Instance: i, Binary: binary, Settings: filepath.Join(folder, i.Name+".toml"), Trail: seen}
	if err := os.WriteFile(p.Settings, []byte(s.Settings(i)), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(folder, i.Name+".log"))
	return p, err
}

// Start begins a life unless there is one.
func (p *Instance) Start(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.Binary, "-site", "platform")
	cmd.Env = []string{"LENTILDECK_SETTINGS=" + p.Settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The process ends with this one, whatever ends this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.ordered = cmd, make(chan struct{}), false
	p.Trail.Logf(now, "instance %s starts (process %d)", p.Name, cmd.Process.Pid)
	go p.wait(cmd, p.done)
	return nil
}

func (p *Instance) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.cmd = nil
	if !p.ordered {
		p.ownEnds++
		p.Trail.Logf(time.Now(), "instance %s ended by itself: %v", p.Name, err)
	}
}

// signal sends a signal to the present life and returns its done channel, which is nil if there is no life.
func (p *Instance) signal(now time.Time, s syscall.Signal, ends bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.ordered = p.ordered || ends
	p.Trail.Logf(now, "instance %s: %s", p.Name, s)
	if err := p.cmd.Process.Signal(s); err != nil {
		p.Trail.Logf(now, "instance %s: %v", p.Name, err)
	}
	return p.done
}

// Kill ends the process at once.
func (p *Instance) Kill(now time.Time) {
	if done := p.signal(now, syscall.SIGKILL, true); done != nil {
		<-done
	}
}

// Term asks the process to end, and kills it after the grace period.
func (p *Instance) Term(now time.Time, grace time.Duration) {
	done := p.signal(now, syscall.SIGTERM, true)
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(grace):
		p.Kill(now.Add(grace))
	}
}

// Freeze suspends the process; Thaw lets it run on.
func (p *Instance) Freeze(now time.Time) { p.signal(now, syscall.SIGSTOP, false) }

// Thaw lets a suspended process run on.
func (p *Instance) Thaw(now time.Time) { p.signal(now, syscall.SIGCONT, false) }

// Reload tells the process that its settings file may have changed.
func (p *Instance) Reload(now time.Time) { p.signal(now, syscall.SIGHUP, false) }

// Close ends the process and returns an error if it has ended by itself during the day.
func (p *Instance) Close(now time.Time) error {
	p.Kill(now)
	if err := p.log.Close(); err != nil {
		return err
	}
	if p.ownEnds > 0 {
		return fmt.Errorf("instance %s ended by itself %d times", p.Name, p.ownEnds)
	}
	return nil
}
