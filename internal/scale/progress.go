package scale

import (
	"context"
	"time"
)

// progressInterval is the time between progress lines while an experiment waits.
const progressInterval = 10 * time.Second

// sleep waits for a duration and logs the progress at every progressInterval. The phase labels the log
// lines. If the context ends earlier, sleep returns its error.
func (e *experiment) sleep(ctx context.Context, phase string, duration time.Duration) error {
	for end := time.Now().Add(duration); ; {
		left := time.Until(end)
		if left <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(left, progressInterval)):
		}
		if left > progressInterval {
			e.logProgress(phase)
		}
	}
}

// logProgress logs the numbers of workers, tasks and rule violations.
func (e *experiment) logProgress(phase string) {
	var workers, tasks, violations int
	e.testbed.DoAndWait(func() {
		world := e.testbed.World
		workers, tasks, violations = len(world.MachineNames()), world.TasksOnMachines(), len(world.Violations)
	})
	e.progress.Logf("  %s: %d workers up, %d tasks on machines, %d rules broken", phase, workers, tasks, violations)
}
