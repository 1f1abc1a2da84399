package storage

import (
	"flag"
	"os"
	"testing"

	"oakpick/internal/protocol"
)

// TestMain fixes the seed of drawn tests: the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type testItem struct {
	name string
	size int
}

func (x *testItem) AppendTo(v *PageValue) {
	v.Terminal = append(v.Terminal, TerminalRecord{ID: x.name})
}
func (x *testItem) EncodedSize() int  { return x.size }
func (x *testItem) ReservedSize() int { return x.size }

var term = protocol.Condition{Key: "leader", Version: 7}
