package testbed

import (
	"slices"
	"testing"

	"oakpick/internal/protocol"
)

func TestPageOfMachinesIsSortedAndWithinLimit(t *testing.T) {
	for _, test := range []struct {
		name  string
		after string
		limit int
		want  []string
		more  bool
	}{
		{"all", "", 0, []string{"a", "b", "c"}, false},
		{"first page", "", 2, []string{"a", "b"}, true},
		{"last page", "b", 2, []string{"c"}, false},
		{"exactly the rest", "a", 2, []string{"b", "c"}, false},
		{"after the last", "c", 2, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := protocol.MachineList{Machines: []protocol.Machine{{Name: "c"}, {Name: "a"}, {Name: "b"}}}
			page := pageOfMachines(list, test.after, test.limit)
			var names []string
			for _, machine := range page.Machines {
				names = append(names, machine.Name)
			}
			if !slices.Equal(names, test.want) || page.More != test.more {
				t.Errorf("got %v, more: %v", names, page.More)
			}
		})
	}
}
