// Package scale runs real controllers on one machine against simulated workers, users, state
// service and cloud. It measures the resource usage of each role at several load sizes, fits
// regression lines to the measurements, injects faults, and checks the protocol's rules against
// the record that the simulated world keeps.
package scale

import (
	"errors"
	"fmt"
	"time"

	"oakpick/internal/scale/testbed"
)

// Parameters configure a run: the load at full size, the procedure of the experiment, and the
// limits given to the controllers. The struct tags define the flags with their ranges and help
// texts. JSON reports use the field names unless a json tag gives another name.
type Parameters struct {
	Load
	Procedure
	Limits
}

// Load is the load of the simulated world at full size.
type Load struct {
	Workers      int     `name:"workers" default:"2400" validate:"gte=2,lte=60000" help:"Machines that can be rented."`
	Accelerators int     `name:"accelerators" default:"4000" validate:"gte=0,lte=480000" help:"Accelerators among them, eight to a machine."`
	Running      int     `name:"running" default:"26000" validate:"gte=2,lte=200000" help:"Tasks running at a time."`
	Starts       float64 `name:"starts" default:"980" validate:"gt=0,lte=20000" help:"Task starts a second."`
	Jobs         float64 `name:"jobs" default:"3.2" validate:"gt=0,lte=1000" help:"Arrays a second, which the starts are shared out to."`
	Teams        int     `name:"teams" default:"57" validate:"gte=1,lte=1000" help:"Teams, each with a limit."`
	LargestGang  int     `json:"Gang" name:"gang" default:"128" validate:"gte=0,lte=1000" help:"Tasks of the largest gangs; 0: no gangs."`
	Urgent       float64 `name:"urgent" default:"1" validate:"gte=0,lte=100" help:"Urgent jobs a second, of one to four tasks."`
	Pipelines    float64 `json:",omitempty" name:"pipelines" default:"0" validate:"gte=0,lte=100" help:"Jobs a second that need others: archived, ended, cancelled and unfinished ones, in any mixture."`
	Cancelled    float64 `name:"cancelled" default:"0.03" validate:"gte=0,lte=1" help:"Share of the jobs that their users cancel."`
	Ended        int     `name:"ended" default:"0" validate:"gte=0,lte=20000000" help:"Ended jobs on record at the beginning."`
	Archived     int     `name:"archived" default:"0" validate:"gte=0,lte=20000000" help:"Ended jobs in the archive at the beginning."`
	Controllers  int     `name:"controllers" default:"3" validate:"oneof=1 3 5" help:"Controllers: 1, 3 or 5."`
}

// Procedure configures the steps, measurements and faults of an experiment.
type Procedure struct {
	Steps          []float64     `name:"steps" default:"0.25,0.5,1" validate:"min=1,max=8,dive,gt=0,lte=1" help:"Parts of the full size, one after the other."`
	Vary           string        `name:"vary" default:"all" validate:"oneof=all workers running starts ended" help:"What the steps are parts of; the rest is at its full size."`
	Settle         time.Duration `name:"settle" default:"45s" validate:"gte=0,lte=1h" help:"Time for each step to settle before it is measured."`
	Measure        time.Duration `name:"measure" default:"40s" validate:"gte=1000000000,lte=1h" help:"Time for which each step is measured, in windows."`
	Windows        int           `name:"windows" default:"4" validate:"gte=1,lte=100" help:"Windows of that time."`
	Faults         []string      `name:"faults" default:"" validate:"dive,oneof=leader all-controllers state cut rack restarts write-share" help:"Faults after the last step: leader, all-controllers, state, cut, rack, restarts, write-share."`
	Recover        time.Duration `name:"recover" default:"40s" validate:"gte=1000000000,lte=1h" help:"Time for which a fault is watched after its end."`
	DuplicateStart bool          `json:"Provoke" name:"provoke" help:"Start one task twice on purpose, to show that the check finds it."`
	Seed           uint64        `name:"seed" default:"1" help:"What is drawn."`
}

// Limits are the limits of the protocol, the state service and the controllers.
type Limits struct {
	HeartbeatIntervalS float64 `json:"ReportS" name:"report-s" default:"5" validate:"gte=0.5,lte=60" help:"Seconds between a worker's reports."`
	LeaseS             float64 `name:"lease-s" default:"26.5" validate:"gte=2,lte=600" help:"A worker's lease."`
	CancelWithinS      float64 `json:"CancelS" name:"cancel-s" default:"56.5" validate:"gte=5,lte=3600" help:"Seconds within which a cancelled job's tasks are gone."`
	StateRPS           float64 `json:"RPS" name:"state-rps" default:"800" validate:"gte=10,lte=100000" help:"Requests a second that the state service takes."`
	StateWriteRPS      float64 `json:"WriteRPS" name:"state-write-rps" default:"80" validate:"gte=1,lte=100000" help:"Keys a second that may be written there."`
	StateValueKB       float64 `json:"ValueKB" name:"state-value-kb" default:"8" validate:"gte=1,lte=64" help:"Largest value there, in KiB."`
	CPU                float64 `name:"cpu" default:"0.516" validate:"gt=0,lte=64" help:"Share of a core in the controllers' settings. It is not enforced here, only compared with."`
	MemoryMB           float64 `json:"MemMB" name:"mem-mb" default:"0" validate:"omitempty,gte=32,lte=100000" help:"Memory in the controllers' settings; 0: by --workers."`
	Sockets            int     `name:"sockets" default:"0" validate:"omitempty,gte=64,lte=1000000" help:"Sockets in the controllers' settings; 0: by --workers."`
}

// Values of Procedure.Vary, which selects the dimension of the load that the steps scale.
const (
	varyAll     = "all"
	varyWorkers = "workers"
	varyRunning = "running"
	varyStarts  = "starts"
	varyEnded   = "ended"
)

// Check sets the limits that are not given. It returns an error that lists every invalid parameter
// or, if all are valid, every resource of the machine that is too small for the run.
func (p *Parameters) Check() error {
	p.deriveLimits()
	problems := testbed.CheckFlags(p)
	if p.Accelerators > p.Workers*testbed.AcceleratorsPerMachine {
		problems = append(problems, fmt.Errorf("--accelerators: %d are more than %d workers hold", p.Accelerators, p.Workers))
	}
	if len(problems) == 0 {
		problems = append(problems, p.checkMachine()...)
	}
	return errors.Join(problems...)
}

// Default limits of a controller. They are proportional to the number of workers, but have a minimum.
const (
	socketsPerWorker  = 2.5
	memoryMBPerWorker = 0.22125
	minSockets        = 400
	minMemoryMB       = 128
)

// deriveLimits derives the socket and memory limits that are not given from the number of workers.
func (p *Parameters) deriveLimits() {
	if p.Sockets == 0 {
		p.Sockets = max(minSockets, int(socketsPerWorker*float64(p.Workers)))
	}
	if p.MemoryMB == 0 {
		p.MemoryMB = max(minMemoryMB, memoryMBPerWorker*float64(p.Workers))
	}
}

// minCount is the minimum number of workers and of running tasks in a step.
const minCount = 2

// step returns the parameters of a step that runs at a fraction of the full size.
func (p *Parameters) step(fraction float64) Parameters {
	step := *p
	scaled := func(count int) int { return int(float64(count) * fraction) }
	varies := func(dimension string) bool { return p.Vary == varyAll || p.Vary == dimension }
	if varies(varyWorkers) {
		step.Workers = max(minCount, scaled(p.Workers))
		step.Accelerators = scaled(p.Accelerators)
	}
	if varies(varyRunning) {
		step.Running = max(minCount, scaled(p.Running))
	}
	if varies(varyStarts) {
		step.Starts, step.Jobs = p.Starts*fraction, p.Jobs*fraction
	}
	if varies(varyEnded) {
		step.Ended, step.Archived = scaled(p.Ended), scaled(p.Archived)
	}
	return step
}

// testbedSpec returns the specification of the testbed for these parameters.
func (p *Parameters) testbedSpec() testbed.Spec {
	return testbed.Spec{
		Workers: p.Workers, Accelerators: p.Accelerators, RunningTasks: p.Running, Teams: p.Teams, LargestGang: p.LargestGang, Controllers: p.Controllers,
		HeartbeatIntervalS: p.HeartbeatIntervalS, LeaseS: p.LeaseS, CancelWithinS: p.CancelWithinS,
		StateRPS: p.StateRPS, StateWriteRPS: p.StateWriteRPS, StateValueKB: p.StateValueKB,
		CPU: p.CPU, MemoryMB: p.MemoryMB, MaxConnections: p.Sockets, Seed: p.Seed,
	}
}
