package scale

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/prometheus/procfs"
)

// Conservative estimates of the simulated world's resource usage, for the check before a run.
const (
	openFilesPerWorker = 4 // listener, heartbeat, command, and a connection that is being replaced
	otherOpenFiles     = 2000
	bytesPerWorker     = 160 << 10
	bytesPerTask       = 3 << 10
	bytesPerEndedJob   = 200
)

// errNoMemoryTotal means that the kernel doesn't report the total memory.
var errNoMemoryTotal = errors.New("/proc/meminfo has no MemTotal")

// checkMachine returns an error, with possible remedies, for every limit of the machine that the
// run would exceed.
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

// machineMemory returns the machine's total memory in bytes.
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

// memoryBytes returns the estimated maximum memory usage of a run in bytes.
func (p *Parameters) memoryBytes() int {
	simulated := p.Workers*bytesPerWorker + p.Running*bytesPerTask + (p.Ended+p.Archived)*bytesPerEndedJob
	return simulated + p.Controllers*int(p.MemoryMB*(1<<20))
}
