package scale

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
)

// startProcess starts a program whose output goes to a file. It doesn't outlive this process,
// however that ends.
func startProcess(command []string, logFile string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended shows in killed, and in its log
		close(p.ended)
	}()
	return p, nil
}

// kill ends a process and waits until it has.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.ended
}

// lastLine is the end of a log.
func lastLine(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
