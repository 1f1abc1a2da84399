package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
)

// newProductionWorld makes a world in which all controllers run as the version in production, with
// lower limits to come.
func newProductionWorld(t *testing.T) *fake.World {
	t.Helper()
	s := fake.Settings()
	s.State.ValueKB, s.State.TxnOps = 8, 8
	s.State.Next = nextLimits(1, 3, 25)
	w := fake.NewWorld(s)
	w.RewriteAsProduction = roundTripProduction
	for _, c := range w.Controllers {
		c.Crash()
		c.RunsProduction = true
	}
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	return w
}

// nextLimits are limits of the state service that are to come.
func nextLimits(valueKB float64, txnOps int, writeRPS float64) *config.StateNext {
	return &config.StateNext{ValueKB: &valueKB, TxnOps: &txnOps, WriteRPS: &writeRPS}
}

// upgrade replaces a controller's process by one of the new version.
func upgrade(w *fake.World, c *fake.Controller, after time.Duration) {
	c.Crash()
	c.RunsProduction = false
	w.After(after, c.Start)
}

// restartWithValueSize restarts every controller with another value_kb.
func restartWithValueSize(w *fake.World, kilobytes float64) {
	crashAll(w)
	w.Cfg.Settings.State.ValueKB = kilobytes
	w.State.SetMaxValueKB(kilobytes)
	startAll(w)
}
