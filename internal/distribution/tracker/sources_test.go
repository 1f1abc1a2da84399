package tracker

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/distribution"
)

// A source that one agent reports for damaged chunks is still assigned to other agents, but not to
// that agent. A source that two agents report is assigned to none until it starts a new session.
func TestSourcesReportedForDamageAreNotAssigned(t *testing.T) {
	leader := newTestLeader(t)
	leader.setManifest(t, "x", manifests[0])
	report := func(agent string, sequence, session int64, chunks int, faulty string) distribution.InventoryResponse {
		t.Helper()
		inventory := newInventory(agent, sequence, chunks)
		inventory.Session = session
		if faulty != "" {
			inventory.Faults = []distribution.SourceFault{{Source: faulty, Manifest: manifests[0], Fault: distribution.FaultDamaged}}
		}
		return leader.report(t, 20*time.Second, inventory)
	}
	report("bad", 1, 1, 4, "")
	if !hasSource(report("one", 1, 1, 0, ""), "bad") {
		t.Fatal("a source without damage reports is not assigned")
	}
	if hasSource(report("one", 2, 1, 0, "bad"), "bad") {
		t.Error("the source is assigned again to the agent that reported it")
	}
	if !hasSource(report("two", 1, 1, 0, ""), "bad") {
		t.Error("a single report excludes the source for all agents")
	}
	report("two", 2, 1, 0, "bad")
	if hasSource(report("three", 1, 1, 0, ""), "bad") {
		t.Error("the source is assigned to a third agent after two reported it")
	}
	if response := report("bad", 2, 1, 4, ""); len(response.Recheck) != 1 {
		t.Errorf("the reported source is not asked to verify its chunks: %+v", response)
	}
	report("bad", 1, 2, 4, "")
	if !hasSource(report("three", 2, 1, 0, ""), "bad") {
		t.Error("the source is not assigned in its new session")
	}
}

// The number of candidates examined for an inventory doesn't grow with the number of agents.
func TestExaminedCandidatesDontGrowWithFleet(t *testing.T) {
	examinedPerInventory := func(agents int) float64 {
		leader := newTestLeader(t)
		leader.setManifest(t, "x", manifests[0])
		for round := range int64(4) {
			for i := range agents {
				leader.report(t, time.Duration(round)*time.Second, newInventory(fmt.Sprint(i), round+1, int(round)))
			}
		}
		counts := leader.tracker.Counts()
		return float64(counts.CandidatesExamined) / float64(counts.Inventories)
	}
	few, many := examinedPerInventory(40), examinedPerInventory(4000)
	t.Logf("candidates examined for an inventory: %.1f with 40 agents, %.1f with 4,000", few, many)
	if many > 2*few+1 {
		t.Errorf("%.1f candidates are examined with 4,000 agents, %.1f with 40", many, few)
	}
}
