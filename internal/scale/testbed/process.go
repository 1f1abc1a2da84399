package testbed

import (
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/procfs"
)

// Process is a child process of this program.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	killed  atomic.Bool // set by Kill
}

// StartProcess starts a program and appends its output to a log file. The kernel kills the program
// when this process ends, even if this process crashes or is killed.
func StartProcess(command []string, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()              // the child process has its own descriptor
	cmd := exec.Command(command[0], command[1:]...) //nolint:noctx // Kill ends the process and waits for it
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the killed field and the log tell how the process ended
		close(p.exited)
	}()
	return p, nil
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill kills the process with a signal that it can't handle, and waits until it has exited.
func (p *Process) Kill() {
	p.killed.Store(true)
	_ = p.command.Process.Kill() // the process may have exited already
	<-p.exited
}

// Suspend stops the process without killing it, so that it hangs.
func (p *Process) Suspend() { _ = p.command.Process.Signal(syscall.SIGSTOP) } // the process may have exited already

// crashed reports whether the process exited without having been killed.
func (p *Process) crashed() bool {
	select {
	case <-p.exited:
		return !p.killed.Load()
	default:
		return false
	}
}

// Usage is the resource usage of a process or, from Controllers.Usage, of a controller.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`     // of the process; Controllers.Usage adds earlier processes
	MemoryMB   float64 `json:"memory_mb"` // resident, MiB
	Sockets    int     `json:"sockets"`   // open
}

// usage reads the resource usage of the process. It returns false if the process has exited.
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

// lastLine returns the last line of a log, or the error message if the log can't be read.
func lastLine(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
