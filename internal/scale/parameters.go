// Package scale runs real controllers on one machine beside hollow workers, users, state
// service and cloud: the stand-ins of package fake behind real sockets, in real time. It
// measures what each role costs at several sizes, fits lines through that, injects faults,
// and checks the protocol's rules by the stand-ins' own record.
package scale

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/scale/testbed"
)

// Parameters are the size of a run at its full step, and how it is played. The tags hold
// their names on the command line, their ranges and their meaning.
type Parameters struct {
	Workers      int     `name:"workers" default:"2400" validate:"gte=2,lte=60000" help:"Machines that can be rented."`
	Accelerators int     `name:"accelerators" default:"4000" validate:"gte=0,lte=480000" help:"Accelerators among them, eight to a machine."`
	Running      int     `name:"running" default:"26000" validate:"gte=2,lte=200000" help:"Tasks running at a time."`
	Starts       float64 `name:"starts" default:"980" validate:"gt=0,lte=20000" help:"Task starts a second."`
	Jobs         float64 `name:"jobs" default:"3.2" validate:"gt=0,lte=1000" help:"Arrays a second, which the starts are shared out to."`
	Teams        int     `name:"teams" default:"57" validate:"gte=1,lte=1000" help:"Teams, each with a limit."`
	Gang         int     `name:"gang" default:"128" validate:"gte=0,lte=1000" help:"Tasks of the largest gangs; 0: no gangs."`
	Urgent       float64 `name:"urgent" default:"1" validate:"gte=0,lte=100" help:"Urgent jobs a second, of one to four tasks."`
	Cancelled    float64 `name:"cancelled" default:"0.03" validate:"gte=0,lte=1" help:"Share of the jobs that their users cancel."`
	Ended        int     `name:"ended" default:"0" validate:"gte=0,lte=20000000" help:"Ended jobs on record at the beginning."`
	Archived     int     `name:"archived" default:"0" validate:"gte=0,lte=20000000" help:"Ended jobs in the archive at the beginning."`
	Controllers  int     `name:"controllers" default:"3" validate:"oneof=1 3 5" help:"Controllers: 1, 3 or 5."`

	Steps   []float64     `name:"steps" default:"0.25,0.5,1" validate:"min=1,max=8,dive,gt=0,lte=1" help:"Parts of the full size, one after the other."`
	Vary    string        `name:"vary" default:"all" validate:"oneof=all workers running starts ended" help:"What the steps are parts of; the rest is at its full size."`
	Settle  time.Duration `name:"settle" default:"45s" validate:"gte=0,lte=1h" help:"Time for each step to settle before it is measured."`
	Measure time.Duration `name:"measure" default:"40s" validate:"gte=1000000000,lte=1h" help:"Time for which each step is measured, in windows."`
	Windows int           `name:"windows" default:"4" validate:"gte=1,lte=100" help:"Windows of that time."`
	Faults  []string      `name:"faults" default:"" validate:"dive,oneof=leader all-controllers state cut rack restarts" help:"Faults after the last step: leader, all-controllers, state, cut, rack, restarts."`
	Recover time.Duration `name:"recover" default:"40s" validate:"gte=1000000000,lte=1h" help:"Time for which a fault is watched after its end."`
	Provoke bool          `name:"provoke" help:"Start one task twice on purpose, to show that the check finds it."`
	Seed    uint64        `name:"seed" default:"1" help:"What is drawn."`

	ReportS  float64 `name:"report-s" default:"5" validate:"gte=0.5,lte=60" help:"Seconds between a worker's reports."`
	LeaseS   float64 `name:"lease-s" default:"26.5" validate:"gte=2,lte=600" help:"A worker's lease."`
	CancelS  float64 `name:"cancel-s" default:"56.5" validate:"gte=5,lte=3600" help:"Seconds within which a cancelled job's tasks are gone."`
	RPS      float64 `name:"state-rps" default:"800" validate:"gte=10,lte=100000" help:"Requests a second that the state service takes."`
	WriteRPS float64 `name:"state-write-rps" default:"80" validate:"gte=1,lte=100000" help:"Keys a second that may be written there."`
	ValueKB  float64 `name:"state-value-kb" default:"8" validate:"gte=1,lte=64" help:"Largest value there, in KiB."`
	CPU      float64 `name:"cpu" default:"0.516" validate:"gt=0,lte=64" help:"Share of a core in the controllers' settings. It is not enforced here, only compared with."`
	MemMB    float64 `name:"mem-mb" default:"0" validate:"omitempty,gte=32,lte=100000" help:"Memory in the controllers' settings; 0: by --workers."`
	Sockets  int     `name:"sockets" default:"0" validate:"omitempty,gte=64,lte=1000000" help:"Sockets in the controllers' settings; 0: by --workers."`
}

// Check derives what is not given, and names every parameter at fault and what of the machine
// is too small for the rest.
func (p *Parameters) Check() error {
	p.derive()
	problems := testbed.CheckFlags(p)
	if p.Accelerators > p.Workers*acceleratorsEach {
		problems = append(problems, fmt.Errorf("--accelerators: %d are more than %d workers hold", p.Accelerators, p.Workers))
	}
	if len(problems) == 0 {
		problems = append(problems, p.tooLarge()...)
	}
	return errors.Join(problems...)
}

// What the hollow side takes, roughly and rather too much, for the check before a run.
const (
	socketsEach      = 4 // a worker's listener, its report, a command and one being replaced
	socketsBeside    = 2000
	bytesEachWorker  = 160 << 10
	bytesEachTask    = 3 << 10
	bytesEachEnded   = 200
	acceleratorsEach = 8
)

// The controllers' limits for each worker, where none are given, and the least of them.
const (
	socketsOfWorker = 2.5
	memoryOfWorker  = 0.22125 // MB
	leastSockets    = 400
	leastMemory     = 128 // MB
)

// derive sets the controllers' limits that are not given, by the number of workers.
func (p *Parameters) derive() {
	if p.Sockets == 0 {
		p.Sockets = max(leastSockets, int(socketsOfWorker*float64(p.Workers)))
	}
	if p.MemMB == 0 {
		p.MemMB = max(leastMemory, memoryOfWorker*float64(p.Workers))
	}
}

// userConnectionShare is the part of a controller's sockets that users may take.
const userConnectionShare = 15

// userConnections is how many connections the users keep to a controller.
func (p *Parameters) userConnections() int { return max(1, p.Sockets/userConnectionShare) }

// tooLarge says what the machine can't bear, and what would have to change.
func (p *Parameters) tooLarge() (problems []error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return []error{fmt.Errorf("the limit on open files can't be read: %w", err)}
	}
	need := uint64(p.Workers*socketsEach + socketsBeside)
	if need > files.Cur {
		problems = append(problems, fmt.Errorf("--workers: %d need %d sockets in one process, and the limit is %d: no more than %d workers, or a higher limit on open files",
			p.Workers, need, files.Cur, (int(files.Cur)-socketsBeside)/socketsEach))
	}
	memory, err := procfs.NewDefaultFS()
	if err != nil {
		return append(problems, fmt.Errorf("the machine's memory can't be read: %w", err))
	}
	info, err := memory.Meminfo()
	if err != nil || info.MemTotalBytes == nil {
		return append(problems, fmt.Errorf("the machine's memory can't be read: %w", err))
	}
	want, half := p.memory(), int(*info.MemTotalBytes/2)
	if want > half {
		problems = append(problems, fmt.Errorf("about %d MB are needed, and half of the machine's memory is %d MB: fewer --controllers, --workers, --running, --ended or --archived, or less --mem-mb", want>>20, half>>20))
	}
	return problems
}

// memory is what a run takes at most.
func (p *Parameters) memory() int {
	hollow := p.Workers*bytesEachWorker + p.Running*bytesEachTask + (p.Ended+p.Archived)*bytesEachEnded
	return hollow + p.Controllers*int(p.MemMB*(1<<20))
}

// step is the run's size at a part of the full one.
func (p *Parameters) step(part float64) Parameters {
	s := *p
	scaled := func(what string) bool { return p.Vary == "all" || p.Vary == what }
	if scaled("workers") {
		s.Workers = max(2, int(float64(p.Workers)*part))
		s.Accelerators = int(float64(p.Accelerators) * part)
	}
	if scaled("running") {
		s.Running = max(2, int(float64(p.Running)*part))
	}
	if scaled("starts") {
		s.Starts, s.Jobs = p.Starts*part, p.Jobs*part
	}
	if scaled("ended") {
		s.Ended, s.Archived = int(float64(p.Ended)*part), int(float64(p.Archived)*part)
	}
	return s
}

// accelerated is how many machines have accelerators.
func (p *Parameters) accelerated() int { return p.Accelerators / acceleratorsEach }

// slots is how many tasks a machine holds: a tenth more than run, so that there is room
// for what comes and goes.
func (p *Parameters) slots() float64 {
	return float64(int(1.1*float64(p.Running)/float64(p.Workers)) + 1)
}

// Names of the hollow machine types.
const (
	plainType       = "plain"
	acceleratedType = "accelerated"
)

// types are the machines that the hollow cloud rents.
func (p *Parameters) types(zones []string) []protocol.MachineType {
	slots := p.slots()
	plain := protocol.MachineType{
		Name: plainType, CPUs: slots, MemoryGB: 4 * slots, CacheGB: 100, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 3, Zones: zones,
	}
	accelerated := plain
	accelerated.Name, accelerated.GPUs, accelerated.Price, accelerated.SpotPrice = acceleratedType, acceleratorsEach, 16, 5
	return []protocol.MachineType{plain, accelerated}
}

// settings are the controllers', by the parameters.
func (p *Parameters) settings() config.Settings {
	zones := []string{"z1", "z2", "z3", "z4"}
	s := config.Settings{
		Size: p.Controllers, Zones: zones,
		Workers: config.Workers{HeartbeatIntervalS: p.ReportS, LeaseS: p.LeaseS, GangStartTimeoutS: 45, GangPeerTimeoutS: 4, CancelWithinS: p.CancelS},
		State:   config.State{RPS: p.RPS, WriteRPS: p.WriteRPS, ValueKB: p.ValueKB, TxnOps: 8},
		Cloud:   config.Cloud{RPS: 12, ListLagS: 6},
		Limits:  config.Limits{CPU: p.CPU, MemoryMB: p.MemMB, MaxConnections: p.Sockets},
		Objectives: []config.Objective{
			{Kind: "wait", Class: urgentClass, WithinS: 2.2, Share: 0.95},
		},
	}
	share := float64(p.Running) / float64(p.Teams)
	for i := range p.Teams {
		s.Teams = append(s.Teams, config.Team{
			Name: fmt.Sprintf("team-%02d", i), GuaranteedCPUs: share, CPULimit: 2*share + float64(p.Gang) + 8,
		})
	}
	return s
}
