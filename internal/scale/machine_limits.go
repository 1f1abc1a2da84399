package scale

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/prometheus/procfs"
)

// What the simulated side takes, roughly and rather too much, for the check before a run.
const (
	openFilesPerWorker = 4 // its listener, its heartbeat, a command and one being replaced
	otherOpenFiles     = 2000
	bytesPerWorker     = 160 << 10
	bytesPerTask       = 3 << 10
	bytesPerEndedJob   = 200
)

// errNoMemoryTotal says that the kernel doesn't tell how much memory there is.
var errNoMemoryTotal = errors.New("/proc/meminfo has no MemTotal")

// checkMachine says what the machine can't bear, and what would have to change.
func (p *Parameters) checkMachine() []error {
	var problems []error
	for _, check := range []func() error{p.checkOpenFiles, p.checkMemory} {
		if err := check(); err != nil {
			problems = append(problems, err)
		}
	}
	return problems
}

func (p *Parameters) checkOpenFiles() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("the limit on open files can't be read: %w", err)
	}
	needed := uint64(p.Workers*openFilesPerWorker + otherOpenFiles)
	if needed <= limit.Cur {
		return nil
	}
	return fmt.Errorf("--workers: %d need %d sockets in one process, and the limit is %d: no more than %d workers, or a higher limit on open files",
		p.Workers, needed, limit.Cur, (int(limit.Cur)-otherOpenFiles)/openFilesPerWorker)
}

func (p *Parameters) checkMemory() error {
	total, err := machineMemory()
	if err != nil {
		return fmt.Errorf("the machine's memory can't be read: %w", err)
	}
	needed, half := p.memoryBytes(), total/2
	if needed <= half {
		return nil
	}
	return fmt.Errorf("about %d MB are needed, and half of the machine's memory is %d MB: fewer --controllers, --workers, --running, --ended or --archived, or less --mem-mb",
		needed>>20, half>>20)
}

// machineMemory is the machine's memory in bytes.
func machineMemory() (int, error) {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := proc.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotalBytes == nil {
		return 0, errNoMemoryTotal
	}
	return int(*info.MemTotalBytes), nil
}

// memoryBytes is what a run takes at most.
func (p *Parameters) memoryBytes() int {
	simulated := p.Workers*bytesPerWorker + p.Running*bytesPerTask + (p.Ended+p.Archived)*bytesPerEndedJob
	return simulated + p.Controllers*int(p.MemoryMB*(1<<20))
}
