package controller_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomized tests unless one is given, so that the same sources always
// have the same result. Other seeds and more checks are run with
// go test ./internal/controller -rapid.seed=N -rapid.checks=5000.
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
