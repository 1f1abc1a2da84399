package testbed

import (
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/procfs"
)

// Process is a program that this one has started.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	killed  atomic.Bool // by this run
}

// StartProcess starts a program whose output is appended to a file. The kernel kills it if this
// process ends, however that happens.
func StartProcess(command []string, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()              // the program has a descriptor of its own
	cmd := exec.Command(command[0], command[1:]...) //nolint:noctx // it is ended by Kill, which waits for it
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended shows in killed, and in its log
		close(p.exited)
	}()
	return p, nil
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill ends the process with a signal that it can't handle, and waits until it has ended.
func (p *Process) Kill() {
	p.killed.Store(true)
	_ = p.command.Process.Kill() // it may have ended already
	<-p.exited
}

// Suspend stops the process without ending it.
func (p *Process) Suspend() { _ = p.command.Process.Signal(syscall.SIGSTOP) } // it may have ended

// crashed tells whether the process ended without having been killed.
func (p *Process) crashed() bool {
	select {
	case <-p.exited:
		return !p.killed.Load()
	default:
		return false
	}
}

// Usage is the resources that a controller has taken since the run began.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	MemoryMB   float64 `json:"memory_mb"` // resident
	Sockets    int     `json:"sockets"`
}

// usage reads what the process takes; false: it has ended.
func (p *Process) usage() (Usage, bool) {
	proc, err := procfs.NewProc(p.command.Process.Pid)
	if err != nil {
		return Usage{}, false
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, false
	}
	files, err := proc.FileDescriptorTargets()
	if err != nil {
		return Usage{}, false
	}
	usage := Usage{CPUSeconds: stat.CPUTime(), MemoryMB: float64(stat.ResidentMemory()) / (1 << 20)}
	for _, file := range files {
		if strings.HasPrefix(file, "socket:") {
			usage.Sockets++
		}
	}
	return usage, true
}

// lastLine is the end of a log, or why it can't be read.
func lastLine(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
