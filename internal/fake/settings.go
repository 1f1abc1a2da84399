package fake

import (
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// Settings returns settings with small limits for tests.
func Settings() config.Settings {
	return config.Settings{
		ControllerCount: 3, Zones: []string{"a", "b"},
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 8, CPULimit: 12},
			{Name: "blue", GuaranteedCPUs: 4},
		},
		Workers: config.Workers{HeartbeatIntervalS: 2, LeaseS: 10, GangStartTimeoutS: 15, GangPeerTimeoutS: 3, CancelWithinS: 25},
		State:   config.State{RPS: 200, WriteRPS: 40, ValueKB: 2, TxnOps: 4},
		Cloud:   config.Cloud{RPS: 4, ListLagS: 4},
		Limits:  config.Limits{CPU: 0.2, MemoryMB: 96, MaxConnections: 400},
	}
}

// Types returns the machine types that the simulated cloud offers.
func Types() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 100, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 2, Price: 4.4, SpotPrice: 1.5, BootS: 8, Zones: []string{"a"}},
	}
}
