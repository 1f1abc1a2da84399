package testbed

import (
	"path/filepath"
	"testing"
)

// startShell starts a shell script, which is killed at the end of the test.
func startShell(t *testing.T, script string) (process *Process, logFile string) {
	t.Helper()
	logFile = filepath.Join(t.TempDir(), "log")
	process, err := StartProcess([]string{"sh", "-c", script}, logFile)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process, logFile
}

func TestProcessThatExitsByItselfHasCrashed(t *testing.T) {
	process, logFile := startShell(t, "echo first; echo last >&2")
	<-process.Exited()
	if !process.crashed() {
		t.Error("it isn't called crashed")
	}
	if last := lastLine(logFile); last != "last" {
		t.Errorf("the last line is %q", last)
	}
	if _, running := process.usage(); running {
		t.Error("it takes something still")
	}
}

func TestKilledProcessHasNotCrashed(t *testing.T) {
	process, _ := startShell(t, "sleep 600")
	if usage, running := process.usage(); !running || usage.MemoryMB <= 0 {
		t.Errorf("it takes nothing: %+v", usage)
	}
	process.Hang()
	process.Kill()
	if process.crashed() {
		t.Error("it is called crashed")
	}
}

func TestStartProcessThatDoesNotExist(t *testing.T) {
	if _, err := StartProcess([]string{"/nothing/that/could/start"}, filepath.Join(t.TempDir(), "log")); err == nil {
		t.Error("it started")
	}
}
