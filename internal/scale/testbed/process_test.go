package testbed

import (
	"path/filepath"
	"testing"
	"time"
)

// startShell starts a shell script. The process is killed at the end of the test.
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
		t.Error("a process that exited by itself is not reported as crashed")
	}
	if last := lastLine(logFile); last != "last" {
		t.Errorf("last log line is %q", last)
	}
	if _, running := process.usage(); running {
		t.Error("an exited process still has a resource usage")
	}
}

func TestKilledProcessHasNotCrashed(t *testing.T) {
	process, _ := startShell(t, "exec sleep 600")
	process.Suspend()
	process.Kill()
	if process.crashed() {
		t.Error("a killed process is reported as crashed")
	}
}

// A process that has just started has no resident memory yet, so the test polls.
func TestUsageHasResidentMemoryOnceProcessRuns(t *testing.T) {
	const wait, interval = 10 * time.Second, time.Millisecond
	process, _ := startShell(t, "exec sleep 600")
	for deadline := time.Now().Add(wait); ; time.Sleep(interval) {
		usage, running := process.usage()
		if !running {
			t.Fatal("the process exited")
		}
		if usage.MemoryMB > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no resident memory after %v: %+v", wait, usage)
		}
	}
}

func TestStartProcessThatDoesNotExist(t *testing.T) {
	if _, err := StartProcess([]string{"/nothing/that/could/start"}, filepath.Join(t.TempDir(), "log")); err == nil {
		t.Error("a program that doesn't exist was started")
	}
}
