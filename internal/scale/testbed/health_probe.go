package testbed

import (
	"context"
	"time"
)

const (
	healthCheckInterval = time.Second
	// unhealthyThreshold is the failure count at which the load balancer removes a controller. A
	// failed check adds one to the count, a successful check subtracts one.
	unhealthyThreshold = 2
)

// probeHealth runs the load balancer's health checks until the context ends or the loop stops.
func (t *Testbed) probeHealth(ctx context.Context) {
	failures := make([]int, len(t.World.Controllers))
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.loop.stopped:
			return
		case <-ticker.C:
		}
		for controller := range failures {
			if t.Controllers.Healthy(ctx, controller) {
				failures[controller] = max(0, failures[controller]-1)
			} else {
				failures[controller] = min(unhealthyThreshold, failures[controller]+1)
			}
			t.setHealth(controller, failures[controller])
		}
	}
}

// setHealth marks a controller as unhealthy in the load balancer if its failure count has reached
// the threshold, and as healthy if the count is 0. In between, the state doesn't change.
func (t *Testbed) setHealth(controller, failures int) {
	if failures != 0 && failures != unhealthyThreshold {
		return
	}
	unhealthy := failures == unhealthyThreshold
	simulated := t.World.Controllers[controller]
	t.Do(func() { simulated.Unhealthy = unhealthy })
}
