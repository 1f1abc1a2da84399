package main

import "time"

// shopWatch are the settings of the "Shop watch model fleet" of the brief.
func shopWatch() settings {
	return settings{
		Size: 3, Zones: []string{"sejong-1"}, Objectives: []any{},
		Teams: []team{
			{"complaints", 216, 440, 0, 0}, {"inspection", 216, 544, 0, 0}, {"model-ops", 112, 328, 0, 0}, {"legal-notice", 216, 440, 0, 0},
		},
		Workers:    workerTimes{ReportS: 2, LeaseS: 12, GangWaitS: 45, GangPeerS: 4, CancelS: 42},
		State:      stateLimits{RPS: 250, WriteRPS: 25, ValueKB: 8, TxnOps: 8},
		Cloud:      cloudLimits{RPS: 6, ListLagS: 6},
		Limits:     processLimits{CPU: 0.18, MemMB: 98, MaxConnections: 900},
		ClockError: 5,
	}
}

// shopWatchFlavors are its machine types, with the time that a boot takes.
func shopWatchFlavors(bootTakes time.Duration) []flavor {
	zones := []string{"sejong-1"}
	return []flavor{
		{"small-8", 8, 0, 32, 80, 0.6, 0.55, 0.18, 40 * time.Second, bootTakes, zones, 40},
		{"gpu-48", 48, 8, 192, 800, 4.6, 16.24, 5.24, 60 * time.Second, bootTakes, zones, 8},
	}
}

// wellness are the settings of the "spa and wellness line", with three controllers instead of five.
func wellness() settings {
	return settings{
		Size: 3, Zones: []string{"aalborg-a", "esbjerg-edge", "vejle-own"}, Objectives: []any{},
		Teams:      []team{{"spa-reception", 0, 0, 1000, 1500}, {"therapist-desk", 0, 0, 350, 800}},
		Workers:    workerTimes{ReportS: 2.5, LeaseS: 14, GangWaitS: 50, GangPeerS: 6, CancelS: 39},
		State:      stateLimits{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 32},
		Cloud:      cloudLimits{RPS: 8, ListLagS: 10},
		Limits:     processLimits{CPU: 0.24, MemMB: 125, MaxConnections: 1000},
		ClockError: 25,
	}
}

// wellnessFlavors is one of its machine types, with the time that a boot takes and the number of machines in
// each zone.
func wellnessFlavors(bootTakes time.Duration, capacity int) []flavor {
	zones := []string{"aalborg-a", "esbjerg-edge", "vejle-own"}
	return []flavor{{"lys-16", 16, 0, 64, 80, 0.6, 0.58, 0.16, 25 * time.Second, bootTakes, zones, capacity}}
}
