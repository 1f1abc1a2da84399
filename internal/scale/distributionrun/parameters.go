// Package distributionrun measures how real controllers and real agents, one process each, distribute
// weights from a simulated store on one machine. It compares the time of a fleet of agents
// with that of a single agent, injects faults, verifies the content that agents serve, and reports
// the sources of the bytes.
package distributionrun

import (
	"errors"
	"fmt"

	"oakpick/internal/scale/testbed"
)

// Parameters define the size and the course of the runs. The tags contain the flags, their ranges and
// their help. Reports contain the fields under their Go names unless a json tag gives another.
type Parameters struct {
	Agents             int      `name:"agents" default:"40" validate:"gte=1,lte=200" help:"Agents, a process each."`
	Zones              int      `name:"zones" default:"3" validate:"gte=1,lte=4" help:"Zones that they are in."`
	Controllers        int      `name:"controllers" default:"3" validate:"oneof=1 3 5" help:"Controllers: 1, 3 or 5."`
	SizeMB             float64  `name:"size-mb" default:"64" validate:"gt=0,lte=4096" help:"Size of a version, in MiB; random bytes."`
	ChunkMB            float64  `name:"chunk-mb" default:"1" validate:"gt=0,lte=1024" help:"Size of its chunks, in MiB."`
	RateMB             float64  `name:"rate-mb" default:"16" validate:"gt=0,lte=4096" help:"Each agent's link, MiB a second up and as much down."`
	StoreRateMB        float64  `name:"store-rate-mb" default:"0" validate:"gte=0,lte=4096" help:"The store's uplink; 0: as each agent's."`
	StoreSlots         int      `name:"store-slots" default:"8" validate:"gte=1,lte=200" help:"Agents that may fetch from the store at a time."`
	UploadSlots        int      `name:"upload-slots" default:"4" validate:"gte=0,lte=200" help:"Takers that each agent uploads to at a time."`
	SlowZone           float64  `name:"slow-zone" default:"1" validate:"gt=0,lte=1" help:"Links of the first zone's agents, as a part of the others'."`
	InventoryIntervalS float64  `json:"ReportS" name:"report-s" default:"1" validate:"gte=0.1,lte=60" help:"Seconds between the inventories of an agent that fetches."`
	Runs               int      `name:"runs" default:"1" validate:"gte=1,lte=20" help:"Runs, one after the other; each has one agent alone first."`
	FromStore          bool     `name:"from-store" help:"In the first run, have as many clients fetch everything from the store, too. It takes as many times as long."`
	IdleS              float64  `name:"idle-s" default:"5" validate:"gte=0,lte=600" help:"Seconds for which idle agents are measured at the end of a run."`
	Faults             []string `name:"faults" default:"" help:"Faults as KIND@PART, at a part of the time that one alone took: kill, restart, hang, leader, store, wrong, cut, version."`
	Seed               uint64   `name:"seed" default:"1" help:"What is drawn."`
}

const mebibyte = 1 << 20

// Check sets defaults that depend on other parameters, and returns an error that names every invalid
// parameter.
func (p *Parameters) Check() error {
	if p.StoreRateMB == 0 {
		p.StoreRateMB = p.RateMB
	}
	problems := testbed.CheckFlags(p)
	if _, err := parseFaults(p.Faults); err != nil {
		problems = append(problems, err)
	}
	if len(problems) == 0 && p.ChunkMB > p.SizeMB {
		problems = append(problems, fmt.Errorf("--chunk-mb: %g is more than --size-mb, %g", p.ChunkMB, p.SizeMB))
	}
	return errors.Join(problems...)
}

// chunks returns the number of chunks of a version and the size of each in bytes.
func (p *Parameters) chunks() (count int, bytes int64) {
	return max(1, int(p.SizeMB/p.ChunkMB)), int64(p.ChunkMB * mebibyte)
}

// linkBytesPerS returns the rate of an agent's link in each direction.
func (p *Parameters) linkBytesPerS() float64 { return p.RateMB * mebibyte }

// Settings of the controllers. Constants whose names end in Intervals are multiples of the interval
// between inventories. Connection limits are proportional to the number of agents, but have a minimum.
const (
	heartbeatIntervals         = 2
	leaseIntervals             = 10
	cancelIntervals            = 25
	socketsPerAgent            = 8
	minSockets                 = 1000
	trackerConnectionsPerAgent = 4
	minTrackerConnections      = 64
	idleIntervals              = 4 // between the inventories of an agent that holds all chunks
)

// testbed returns the specification of the testbed, which has few machines and tasks.
func (p *Parameters) testbed() testbed.Spec {
	return testbed.Spec{
		Workers: 2, RunningTasks: 2, Teams: 1, Controllers: p.Controllers,
		HeartbeatIntervalS: heartbeatIntervals * p.InventoryIntervalS, LeaseS: leaseIntervals * p.InventoryIntervalS,
		CancelWithinS: cancelIntervals * p.InventoryIntervalS,
		StateRPS:      200, StateWriteRPS: 40, StateValueKB: 8,
		CPU: 1, MemoryMB: 256, MaxConnections: max(minSockets, socketsPerAgent*p.Agents), Seed: p.Seed,
	}
}
