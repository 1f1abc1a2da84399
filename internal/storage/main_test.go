package storage

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that their result is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
