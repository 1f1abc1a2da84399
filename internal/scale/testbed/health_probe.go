package testbed

import (
	"context"
	"time"
)

const (
	healthCheckInterval = time.Second
	// unhealthyThreshold is how many more failures than successes take a controller out of the
	// load balancer.
	unhealthyThreshold = 2
)

// probeHealth makes the load balancer's health checks until the context ends or the loop stops.
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

// setHealth tells the load balancer about a controller whose failures are decisive.
func (t *Testbed) setHealth(controller, failures int) {
	if failures != 0 && failures != unhealthyThreshold {
		return
	}
	unhealthy := failures == unhealthyThreshold
	simulated := t.World.Controllers[controller]
	t.Do(func() { simulated.Unhealthy = unhealthy })
}
