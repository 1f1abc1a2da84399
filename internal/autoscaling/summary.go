package autoscaling

import (
	"fmt"
	"maps"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/resources"
)

// typeSummary aggregates the machines of one type, spot or on-demand.
type typeSummary struct {
	up, booting, empty, silent int
	allocated, capacity        resources.Amount
}

func (t *typeSummary) add(machine *cluster.Machine, capacity resources.Amount) {
	switch {
	case !machine.Worker.Registered:
		t.booting++
		return
	case machine.Worker.Expired():
		t.silent++
		return
	case len(machine.Tasks) == 0:
		t.empty++
	}
	t.up++
	t.capacity = t.capacity.Plus(capacity)
	for _, task := range machine.Tasks {
		t.allocated = t.allocated.Plus(task.Job.Request)
	}
}

// logSummary logs a summary of the fleet, one line for each type of machine.
func (a *Autoscaler) logSummary() {
	summaries := map[string]*typeSummary{}
	for _, machine := range a.state.MachinesByName {
		machineType := a.state.Catalog.Type(machine.Type)
		if machineType == nil {
			continue
		}
		name := machine.Type
		if machine.Spot {
			name += " spot"
		}
		if summaries[name] == nil {
			summaries[name] = &typeSummary{}
		}
		summaries[name].add(machine, cluster.Capacity(machineType))
	}
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		t := summaries[name]
		a.context.Log(message.Info, "fleet", "type", name, "up", t.up, "booting", t.booting, "empty", t.empty, "silent", t.silent,
			"cpus", fmt.Sprintf("%.0f/%.0f", t.allocated.CPUs, t.capacity.CPUs), "gpus", fmt.Sprintf("%.0f/%.0f", t.allocated.GPUs, t.capacity.GPUs))
	}
}
