package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
)

// newProductionWorld makes a world in which all controllers run the version in production and lower
// limits are announced.
func newProductionWorld(t *testing.T) *fake.World {
	t.Helper()
	s := fake.Settings()
	s.State.ValueKB, s.State.TxnOps = 8, 8
	s.State.Next = nextLimits(1, 3, 25)
	w := fake.NewWorld(s)
	w.RewriteAsProduction = roundTripProduction
	for _, c := range w.Controllers {
		c.Crash()
		c.RunsProductionVersion = true
	}
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	return w
}

// nextLimits returns announced limits of the state service.
func nextLimits(valueKB float64, txnOps int, writeRPS float64) *config.StateNext {
	return &config.StateNext{ValueKB: &valueKB, TxnOps: &txnOps, WriteRPS: &writeRPS}
}

// announceLimits restarts the controllers with settings that announce lower limits of the state service.
func announceLimits(w *fake.World, next *config.StateNext) {
	crashAll(w)
	w.Cfg.Settings.State.Next = next
	w.State.AnnounceLimits(next)
	startAll(w)
}

// upgrade crashes a controller's process and starts one of the new version after a time.
func upgrade(w *fake.World, c *fake.Controller, after time.Duration) {
	c.Crash()
	c.RunsProductionVersion = false
	w.After(after, c.Start)
}

// restartWithValueSize restarts every controller with another value_kb setting.
func restartWithValueSize(w *fake.World, kilobytes float64) {
	crashAll(w)
	w.Cfg.Settings.State.ValueKB = kilobytes
	w.State.SetMaxValueKB(kilobytes)
	startAll(w)
}
