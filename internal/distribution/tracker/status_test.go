package tracker

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/distribution"
)

// Names and agents are listed in pages, each of which fits into a message between controllers.
// Together the pages list every entry once.
func TestPagesListEveryEntryOnce(t *testing.T) {
	const entries = 2000
	leader := newTestLeader(t)
	for i := range entries {
		leader.setManifest(t, fmt.Sprintf("x%04d", i), manifests[0])
	}
	leader.setManifest(t, "x", manifests[0])
	for i := range entries {
		inventory := newInventory(fmt.Sprintf("agent-%04d", i), 1, 2)
		inventory.Waits = []distribution.WaitReason{{Name: "x", Description: strings.Repeat("w", 200), Chunk: manifests[1], MissingChunks: 3}}
		leader.report(t, time.Second, inventory)
	}
	if names := listNames(t, leader); names != entries+1 {
		t.Errorf("%d names are listed", names)
	}
	agents, listed := listAgents(t, leader, entries)
	if agents != entries || listed != entries {
		t.Errorf("%d different agents in %d entries", agents, listed)
	}
}

// requireFits fails the test unless a page fits into a message between controllers.
func requireFits(t *testing.T, page any) {
	t.Helper()
	if text, err := json.Marshal(page); err != nil || len(text) > distribution.MaxMessageBytes {
		t.Fatalf("a page of %d bytes, %v", len(text), err)
	}
}

// listNames reads all pages of names and returns the number of entries.
func listNames(t *testing.T, leader *testLeader) (entries int) {
	t.Helper()
	for after, more := "", true; more; {
		page := leader.send(time.Second, NamesCall{ID: 3, After: after}).Body.(NamesPage)
		requireFits(t, page)
		entries += len(page.Names)
		after, more = page.Names[len(page.Names)-1].Name, page.More
	}
	return entries
}

// listAgents reads all pages of a name's status and returns the number of different agents and
// of entries.
func listAgents(t *testing.T, leader *testLeader, wantAgents int) (agents, entries int) {
	t.Helper()
	names := map[string]bool{}
	for after, more := "", true; more; {
		page := leader.send(time.Second, StatusCall{ID: 4, Name: "x", After: after}).Body.(Status)
		requireFits(t, page)
		if page.Agents != wantAgents {
			t.Fatalf("the page counts %d agents", page.Agents)
		}
		for _, member := range page.Members {
			names[member.Agent] = true
		}
		entries += len(page.Members)
		after, more = page.Members[len(page.Members)-1].Agent, page.More
	}
	return len(names), entries
}
