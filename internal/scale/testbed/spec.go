package testbed

import (
	"fmt"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// Spec is the size of a testbed and the settings of its controllers.
type Spec struct {
	Workers      int // machines that can be provisioned
	Accelerators int // among them, AcceleratorsPerMachine to a machine
	Running      int // tasks at a time
	Teams        int // each with a quota
	LargestGang  int // tasks
	Controllers  int

	HeartbeatIntervalS float64 // seconds
	LeaseS             float64 // of a worker, seconds
	CancelWithinS      float64 // seconds until a cancelled job's tasks are gone

	StateRPS      float64 // requests a second that the state service takes
	StateWriteRPS float64 // keys a second that may be written there
	StateValueKB  float64 // largest value there, KiB

	CPU            float64 // cores; not enforced
	MemoryMB       float64 // MiB; not enforced
	MaxConnections int     // of a controller

	Seed uint64
}

// AcceleratorsPerMachine is how many accelerators a machine has that has any.
const AcceleratorsPerMachine = 8

// Names of the simulated machine types.
const (
	PlainType       = "plain"
	AcceleratedType = "accelerated"
)

// UrgentClass is the class of jobs for which the controllers have a service-level objective.
const UrgentClass = "urgent"

// userConnectionDivisor is the part of a controller's connections that users may take: one of
// so many.
const userConnectionDivisor = 15

// userConnections is how many connections the users keep to a controller.
func (s Spec) userConnections() int { return max(1, s.MaxConnections/userConnectionDivisor) }

// AcceleratedMachines is how many machines have accelerators.
func (s Spec) AcceleratedMachines() int { return s.Accelerators / AcceleratorsPerMachine }

// capacity is how many machines of each type a zone has, so that the zones together have at
// least as many as there are workers.
func (s Spec) capacity(zones int) map[string]int {
	perZone := func(machines int) int { return (machines + zones - 1) / zones }
	return map[string]int{
		AcceleratedType: perZone(s.AcceleratedMachines()),
		PlainType:       perZone(s.Workers - s.AcceleratedMachines()),
	}
}

// tasksPerMachine leaves a tenth more room than the running tasks need, for those that come and
// go.
func (s Spec) tasksPerMachine() float64 {
	return float64(int(1.1*float64(s.Running)/float64(s.Workers)) + 1)
}

// machineTypes are what the simulated cloud offers. A task needs one CPU and one GB.
func (s Spec) machineTypes(zones []string) []protocol.MachineType {
	tasks := s.tasksPerMachine()
	plain := protocol.MachineType{
		Name: PlainType, CPUs: tasks, MemoryGB: 4 * tasks, CacheGB: 100, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 3, Zones: zones,
	}
	accelerated := plain
	accelerated.Name, accelerated.GPUs, accelerated.Price, accelerated.SpotPrice = AcceleratedType, AcceleratorsPerMachine, 16, 5
	return []protocol.MachineType{plain, accelerated}
}

// settings are what every controller gets.
func (s Spec) settings() config.Settings {
	return config.Settings{
		ControllerCount: s.Controllers, Zones: []string{"z1", "z2", "z3", "z4"},
		Workers: config.Workers{
			HeartbeatIntervalS: s.HeartbeatIntervalS, LeaseS: s.LeaseS, GangStartTimeoutS: 45, GangPeerTimeoutS: 4, CancelWithinS: s.CancelWithinS,
		},
		State:  config.State{RPS: s.StateRPS, WriteRPS: s.StateWriteRPS, ValueKB: s.StateValueKB, TxnOps: 8},
		Cloud:  config.Cloud{RPS: 12, ListLagS: 6},
		Limits: config.Limits{CPU: s.CPU, MemoryMB: s.MemoryMB, MaxConnections: s.MaxConnections},
		Objectives: []config.Objective{
			{Kind: "wait", Class: UrgentClass, WithinS: 2.2, Share: 0.95},
		},
		Teams: s.teams(),
	}
}

// spareQuotaCPUs is what a team's quota has beyond twice its share and a gang.
const spareQuotaCPUs = 8

// teams share out the running tasks; each may use twice its share and a gang.
func (s Spec) teams() []config.Team {
	share := float64(s.Running) / float64(s.Teams)
	teams := make([]config.Team, s.Teams)
	for i := range teams {
		teams[i] = config.Team{
			Name: TeamName(i), GuaranteedCPUs: share, CPULimit: 2*share + float64(s.LargestGang) + spareQuotaCPUs,
		}
	}
	return teams
}

// TeamName is the name of a team.
func TeamName(team int) string { return fmt.Sprintf("team-%02d", team) }
