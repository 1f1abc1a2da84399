package tracker

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/distribution"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// model drives a tracker with randomly drawn commands and checks its state after each.
type model struct {
	*rapid.T
	tracker          *Tracker
	state            *fakeStateService
	now              time.Duration
	leadership       Leadership
	lastID           uint64
	pendingCalls     []storage.StateCall // to the state service, without a result yet
	delayedCalls     []storage.StateCall // applied later, after the tracker got an unknown outcome
	sequences        map[string]int64    // of each agent's last inventory
	repliedIDs       map[uint64]bool     // of calls that were replied to
	repliedRevisions map[string]int64    // highest revision in a reply, by name
}

func newModel(t *rapid.T) *model {
	return &model{
		T: t, tracker: New(testParameters()), state: newFakeStateService(),
		sequences: map[string]int64{}, repliedIDs: map[uint64]bool{}, repliedRevisions: map[string]int64{},
	}
}

// step runs the tracker with a command and checks the replies and the state that follow.
func (m *model) step(command Command) {
	for _, effect := range m.tracker.Step(m.now, m.leadership, []Command{command}) {
		switch e := effect.(type) {
		case Reply:
			if m.repliedIDs[e.ID] {
				m.Fatalf("call %d has a second reply", e.ID)
			}
			m.repliedIDs[e.ID] = true
			m.checkReply(e)
		case StateCall:
			m.pendingCalls = append(m.pendingCalls, e.StateCall)
		}
	}
	m.checkInvariants()
}

// drawAgent draws one of six agents.
func (m *model) drawAgent(label string) string {
	return fmt.Sprintf("agent-%d", rapid.IntRange(0, 5).Draw(m.T, label))
}

// report sends a drawn inventory, sometimes one that is older than the last.
func (m *model) report() {
	agent := m.drawAgent("agent")
	m.sequences[agent]++
	inventory := &distribution.Inventory{
		Agent: agent, Zone: zones[int(agent[len(agent)-1])%2], Address: agent + ":1", Session: 1, Sequence: m.sequences[agent],
		UploadSlots: 2, WantedNames: []string{"x", "y"}, Holdings: m.drawHoldings(), Faults: m.drawFaults(),
	}
	if rapid.IntRange(0, 5).Draw(m.T, "late") == 0 {
		inventory.Sequence = max(1, inventory.Sequence-2)
	}
	m.lastID++
	m.step(InventoryCall{m.lastID, inventory})
}

func (m *model) drawHoldings() (holdings []distribution.Holding) {
	for _, manifest := range manifests {
		if rapid.Bool().Draw(m.T, "holds") {
			chunks := rapid.IntRange(0, 4).Draw(m.T, "chunks")
			holdings = append(holdings, distribution.Holding{Manifest: manifest, Chunks: chunks, Total: 4})
		}
	}
	return holdings
}

func (m *model) drawFaults() []distribution.SourceFault {
	if rapid.IntRange(0, 3).Draw(m.T, "reports a fault") != 0 {
		return nil
	}
	faults := []distribution.Fault{distribution.FaultDamaged, distribution.FaultSlow, distribution.FaultUseless}
	return []distribution.SourceFault{{
		Source:   m.drawAgent("source"),
		Manifest: rapid.SampledFrom(manifests).Draw(m.T, "faulty manifest"),
		Fault:    rapid.SampledFrom(faults).Draw(m.T, "fault"),
	}}
}

// setManifest requests a drawn manifest for a drawn name.
func (m *model) setManifest() {
	m.lastID++
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(m.T, "name")
	m.step(SetManifestCall{m.lastID, name, rapid.SampledFrom(manifests).Draw(m.T, "manifest")})
}

// deliverStateResult delivers the result of a call to the state service. The call is applied now,
// later or never, and its outcome may be unknown to the tracker.
func (m *model) deliverStateResult() {
	if len(m.pendingCalls) == 0 {
		return
	}
	call := m.pendingCalls[0]
	m.pendingCalls = m.pendingCalls[1:]
	outcomeUnknown := StateResult{storage.StateResult{ID: call.ID, Outcome: rpc.Unknown}}
	switch rapid.IntRange(0, 5).Draw(m.T, "outcome") {
	case 0: // never applied
		m.step(outcomeUnknown)
	case 1: // applied, but its response is lost
		m.state.execute(call)
		m.step(outcomeUnknown)
	case 2: // applied later
		m.delayedCalls = append(m.delayedCalls, call)
		m.step(outcomeUnknown)
	default:
		m.step(StateResult{m.state.execute(call)})
	}
}

// executeDelayedCall applies the oldest of the delayed calls.
func (m *model) executeDelayedCall() {
	if len(m.delayedCalls) > 0 {
		m.state.execute(m.delayedCalls[0])
		m.delayedCalls = m.delayedCalls[1:]
	}
}

// advanceTime advances the time by a drawn duration.
func (m *model) advanceTime() {
	m.now += time.Duration(rapid.IntRange(1, 6000).Draw(m.T, "ms")) * time.Millisecond
	m.leadership.LeaseUntil = m.now + time.Minute
	m.step(Tick{})
}

// failOver lets another controller lead, and then this one again in a new term. Pending calls of
// the earlier term may still be applied.
func (m *model) failOver() {
	m.delayedCalls = append(m.delayedCalls, m.pendingCalls...)
	m.pendingCalls = nil
	m.leadership = Leadership{Leader: "other"}
	m.step(Tick{})
	token := m.state.advanceToken()
	m.leadership = Leadership{Term: token, FencingToken: token, LeaseUntil: m.now + time.Minute}
	m.step(Tick{})
}

// setDefaultFlags sets the flags that the command line doesn't set.
func setDefaultFlags(t *testing.T, defaults map[string]string) {
	t.Helper()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Commands, failures and delays in a random order keep these invariants: both sides of a lease
// agree, valid leases never exceed a source's slots, indexes are complete, a write is applied once
// at most, and the records in replies are durable and their revisions never decrease.
func TestTrackerModel(t *testing.T) {
	setDefaultFlags(t, map[string]string{"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "60"})
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(r)
		m.failOver()
		r.Repeat(map[string]func(*rapid.T){
			"inventory":           func(*rapid.T) { m.report() },
			"report":              func(*rapid.T) { m.report() }, // twice, so that inventories are frequent
			"use":                 func(*rapid.T) { m.setManifest() },
			"state result":        func(*rapid.T) { m.deliverStateResult() },
			"late state call":     func(*rapid.T) { m.executeDelayedCall() },
			"time":                func(*rapid.T) { m.advanceTime() },
			"raise fencing token": func(*rapid.T) { m.leadership.FencingToken = m.state.advanceToken() },
			"take over":           func(*rapid.T) { m.failOver() },
			"status": func(*rapid.T) {
				m.lastID++
				m.step(StatusCall{ID: m.lastID, Name: "x"})
			},
		})
	})
}
