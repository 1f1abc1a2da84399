package testbed

import (
	"fmt"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// Spec defines the size of a testbed and the settings of its controllers.
type Spec struct {
	Workers      int // number of machines that can be provisioned
	Accelerators int // total, with AcceleratorsPerMachine on each machine that has any
	RunningTasks int // tasks that run at the same time
	Teams        int // each has a quota
	LargestGang  int // tasks in the largest gang
	Controllers  int

	HeartbeatIntervalS float64
	LeaseS             float64 // of a worker
	CancelWithinS      float64 // time within which the tasks of a cancelled job end

	StateRPS      float64 // requests per second that the state service accepts
	StateWriteRPS float64 // keys per second that may be written to the state service
	StateValueKB  float64 // largest value in the state service, KiB

	CPU            float64 // cores of a controller; not enforced
	MemoryMB       float64 // MiB of a controller; not enforced
	MaxConnections int     // of a controller

	Seed uint64
}

// AcceleratorsPerMachine is the number of accelerators on a machine of the accelerated type.
const AcceleratorsPerMachine = 8

// Names of the simulated machine types.
const (
	PlainType       = "plain"
	AcceleratedType = "accelerated"
)

// UrgentClass is the class of jobs for which the controllers have a service-level objective.
const UrgentClass = "urgent"

// userConnectionDivisor is a controller's MaxConnections divided by the connections left to users.
const userConnectionDivisor = 15

// userConnections returns how many connections users may have to each controller.
func (s Spec) userConnections() int { return max(1, s.MaxConnections/userConnectionDivisor) }

// AcceleratedMachines returns the number of machines with accelerators.
func (s Spec) AcceleratedMachines() int { return s.Accelerators / AcceleratorsPerMachine }

// capacity returns the number of machines of each type in a zone. It is rounded up, so that all
// zones together have at least as many machines as there are workers.
func (s Spec) capacity(zones int) map[string]int {
	perZone := func(machines int) int { return (machines + zones - 1) / zones }
	return map[string]int{
		AcceleratedType: perZone(s.AcceleratedMachines()),
		PlainType:       perZone(s.Workers - s.AcceleratedMachines()),
	}
}

// tasksPerMachine returns the number of tasks that fit on a machine. All machines together
// have room for a tenth more than the running tasks, because tasks start and end all the time.
func (s Spec) tasksPerMachine() float64 {
	return float64(int(1.1*float64(s.RunningTasks)/float64(s.Workers)) + 1)
}

// machineTypes returns the machine types of the simulated cloud. A task needs one CPU and one GB.
func (s Spec) machineTypes(zones []string) []protocol.MachineType {
	tasks := s.tasksPerMachine()
	plain := protocol.MachineType{
		Name: PlainType, CPUs: tasks, MemoryGB: 4 * tasks, CacheGB: 100, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 3, Zones: zones,
	}
	accelerated := plain
	accelerated.Name, accelerated.GPUs, accelerated.Price, accelerated.SpotPrice = AcceleratedType, AcceleratorsPerMachine, 16, 5
	return []protocol.MachineType{plain, accelerated}
}

// settings returns the settings that all controllers share.
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

// spareQuotaCPUs is added to a team's quota, on top of twice its share and the largest gang.
const spareQuotaCPUs = 8

// teams divides the running tasks equally among the teams. Each team is guaranteed its share; its
// limit is twice the share plus the largest gang plus spareQuotaCPUs.
func (s Spec) teams() []config.Team {
	share := float64(s.RunningTasks) / float64(s.Teams)
	teams := make([]config.Team, s.Teams)
	for i := range teams {
		teams[i] = config.Team{
			Name: TeamName(i), GuaranteedCPUs: share, CPULimit: 2*share + float64(s.LargestGang) + spareQuotaCPUs,
		}
	}
	return teams
}

// TeamName returns the name of a team.
func TeamName(team int) string { return fmt.Sprintf("team-%02d", team) }
