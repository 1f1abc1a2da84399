package controller_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of drawn tests unless one is given, so that the same
// sources always get the same verdict: go test ./internal/controller
// -rapid.seed=N -rapid.checks=5000 draws others.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" || f.Name == "rapid.failfile" })
	if !given {
		if err := flag.Set("rapid.seed", "20261201"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var fineSteps = flag.Bool("fine", false, "sweep compound failures in finer steps")
