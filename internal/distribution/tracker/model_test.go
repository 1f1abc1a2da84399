package tracker

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"

	"oakpick/internal/coordination"
	"oakpick/internal/distribution"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

var zones = []string{"a", "b"}

func parameters() Parameters {
	return Parameters{ReportInterval: time.Second, IdleReportInterval: 4 * time.Second, RetryInterval: 100 * time.Millisecond, StoreSlots: 2, Zones: zones, ProcessID: "boot", Seed: 1}
}

// keyValues is the state service: names by key, and the leader's key.
type keyValues struct {
	entries  map[string]protocol.Entry
	revision int64
	written  map[string]int // by write id, how often it was carried out
}

func newKeyValues() *keyValues {
	return &keyValues{entries: map[string]protocol.Entry{}, written: map[string]int{}}
}

// lead gives the leader's key to a new token.
func (k *keyValues) lead() int64 {
	k.revision++
	k.entries[coordination.LeaderKey] = protocol.Entry{Key: coordination.LeaderKey, Version: k.revision}
	return k.revision
}

func (k *keyValues) execute(c storage.StateCall) storage.StateResult {
	r := storage.StateResult{ID: c.ID}
	switch c.Op {
	case storage.StateList:
		for key, entry := range k.entries {
			if key > NamesPrefix && key < NamesPrefix+"~" {
				r.List.Entries = append(r.List.Entries, entry)
			}
		}
	case storage.StateGet:
		entry, ok := k.entries[c.Key]
		if !ok {
			r.Outcome = storage.NotFound
		}
		r.Entry = entry
	case storage.StateTxn:
		for _, condition := range c.Txn.If {
			if k.entries[condition.Key].Version != condition.Version {
				r.Outcome = storage.Conflict
				return r
			}
		}
		k.revision++
		for _, change := range c.Txn.Then {
			k.entries[change.Put] = protocol.Entry{Key: change.Put, Value: protocol.Encode(change.Value), Version: k.revision}
			k.written[change.Value.(storedName).WriteID]++
		}
		r.Number = k.revision
	}
	return r
}

// model drives a tracker by drawn commands and checks it after each.
type model struct {
	*rapid.T
	tracker  *Tracker
	state    *keyValues
	now      time.Duration
	term     Term
	id       uint64
	calls    []storage.StateCall // under way
	late     []storage.StateCall // copies that are still to be carried out
	sequence map[string]int64
	answers  map[uint64]Reply
	told     map[string]int64 // the highest revision that was told of a name
}

func (m *model) step(c Command) {
	for _, e := range m.tracker.Step(m.now, m.term, []Command{c}) {
		switch e := e.(type) {
		case Reply:
			if _, twice := m.answers[e.ID]; twice {
				m.Fatalf("request %d is answered twice", e.ID)
			}
			m.answers[e.ID] = e
			m.hear(e)
		case StateCall:
			m.calls = append(m.calls, e.StateCall)
		}
	}
	m.consistent()
}

// hear checks what is told: revisions never go back, and what is told is durable.
func (m *model) hear(e Reply) {
	var records []distribution.NameRecord
	switch body := e.Body.(type) {
	case distribution.Answer:
		records = body.Names
		m.leases(body)
	case distribution.NameRecord:
		records = []distribution.NameRecord{body}
	}
	for _, record := range records {
		if record.Revision < m.told[record.Name] {
			m.Fatalf("%s had revision %d, and now has %d", record.Name, m.told[record.Name], record.Revision)
		}
		m.told[record.Name] = record.Revision
		var v storedName
		stored := m.state.entries[NamesPrefix+record.Name]
		if protocol.Decode(stored.Value, &v) != nil || stored.Version < record.Revision || stored.Version == record.Revision && v.Manifest != record.Manifest.String() {
			m.Fatalf("%s is told as %s, revision %d, and stored as %s, revision %d", record.Name, record.Manifest, record.Revision, v.Manifest, stored.Version)
		}
	}
}

func (m *model) leases(a distribution.Answer) {
	seen := map[string]bool{}
	for _, s := range a.Sources {
		key := s.Agent + s.Manifest.String()
		if seen[key] || s.LeaseMs <= 0 {
			m.Fatalf("sources %+v", a.Sources)
		}
		seen[key] = true
	}
}

// consistent checks the tracker's books against each other.
func (m *model) consistent() {
	t := m.tracker
	storeLeases := 0
	for _, agent := range t.agents {
		live := 0
		for _, lease := range agent.uploadLeases {
			if lease.source != agent || lease.downloader == agent || !slices.Contains(lease.downloader.downloadLeases, lease) || t.agents[lease.downloader.name] != lease.downloader {
				m.Fatalf("%s gives by a lease that is not whole: %+v", agent.name, lease)
			}
			if t.now < lease.validUntil {
				live++
			}
		}
		if live > agent.uploadSlots {
			m.Fatalf("%s has %d takers in %d slots", agent.name, live, agent.uploadSlots)
		}
		for _, lease := range agent.downloadLeases {
			if lease.source == nil {
				storeLeases++
				continue
			}
			if !slices.Contains(lease.source.uploadLeases, lease) || t.agents[lease.source.name] != lease.source {
				m.Fatalf("%s takes by a lease that is not whole: %+v", agent.name, lease)
			}
			if source := lease.source.members[lease.manifest]; source == nil {
				m.Fatalf("%s takes %s from %s, which has nothing of it", agent.name, lease.manifest, lease.source.name)
			}
		}
		for d, x := range agent.members {
			holders := t.swarms[d].holders[agent.zone]
			if x.chunks > 0 && holders[x.holderIndex] != x || x.chunks == 0 && x.holderIndex != -1 {
				m.Fatalf("%s is at place %d with %d chunks", agent.name, x.holderIndex, x.chunks)
			}
		}
	}
	for _, swarm := range t.swarms {
		for i, lease := range swarm.storeLeases {
			if lease != nil && (lease.stripe != i || !slices.Contains(lease.downloader.downloadLeases, lease)) {
				m.Fatalf("stripe %d has %+v", i, lease)
			}
			if lease != nil {
				storeLeases--
			}
		}
	}
	if storeLeases != 0 {
		m.Fatalf("%d leases on the store that it doesn't know of", storeLeases)
	}
	if n := t.names; n != nil && n.loaded && len(n.queue) == 0 {
		for name, record := range n.records { // whatever is carried out late
			if stored := m.state.entries[NamesPrefix+name]; stored.Version != record.Revision {
				m.Fatalf("%s is known with revision %d and stored with %d, and nothing is being written", name, record.Revision, stored.Version)
			}
		}
	}
	for write, times := range m.state.written {
		if times > 1 {
			m.Fatalf("write %s was carried out %d times", write, times)
		}
	}
}

var manifests = []digest.Digest{digest.FromString("1"), digest.FromString("2"), digest.FromString("3")}

func (m *model) inventory() {
	name := fmt.Sprintf("agent-%d", rapid.IntRange(0, 5).Draw(m.T, "agent"))
	m.sequence[name]++
	i := &distribution.Inventory{
		Agent: name, Zone: zones[int(name[len(name)-1])%2], Address: name + ":1", Session: 1, Sequence: m.sequence[name], UploadSlots: 2, Wants: []string{"x", "y"},
	}
	for _, d := range manifests {
		if rapid.Bool().Draw(m.T, "holds") {
			i.Holdings = append(i.Holdings, distribution.Holding{Manifest: d, Chunks: rapid.IntRange(0, 4).Draw(m.T, "chunks"), Total: 4})
		}
	}
	if rapid.IntRange(0, 3).Draw(m.T, "accuses") == 0 {
		i.Faults = []distribution.SourceFault{{
			Source: fmt.Sprintf("agent-%d", rapid.IntRange(0, 5).Draw(m.T, "source")), Manifest: rapid.SampledFrom(manifests).Draw(m.T, "of"),
			Fault: rapid.SampledFrom([]distribution.Fault{distribution.FaultDamaged, distribution.FaultSlow, distribution.FaultUseless}).Draw(m.T, "fault"),
		}}
	}
	if rapid.IntRange(0, 5).Draw(m.T, "late") == 0 {
		i.Sequence = max(1, i.Sequence-2)
	}
	m.id++
	m.step(InventoryCall{m.id, i})
}

// answer brings the outcome of a call to the state service: it was carried out or not, now or
// late, and its answer may be lost.
func (m *model) answer() {
	if len(m.calls) == 0 {
		return
	}
	c := m.calls[0]
	m.calls = m.calls[1:]
	lost := StateResult{storage.StateResult{ID: c.ID, Outcome: storage.Lost}}
	switch rapid.IntRange(0, 5).Draw(m.T, "fate") {
	case 0:
		m.step(lost)
	case 1:
		m.state.execute(c)
		m.step(lost)
	case 2:
		m.late = append(m.late, c)
		m.step(lost)
	default:
		m.step(StateResult{m.state.execute(c)})
	}
}

// takeOver gives the term to this controller anew, as another process of it or after another
// led: what was under way may still be carried out.
func (m *model) takeOver() {
	m.late = append(m.late, m.calls...)
	m.calls = nil
	m.term = Term{Leader: "other"}
	m.step(Tick{})
	token := m.state.lead()
	m.term = Term{Reign: token, Token: token, Until: m.now + time.Minute}
	m.step(Tick{})
}

// drawTheSame sets flags that the command line doesn't give.
func drawTheSame(t *testing.T, flags map[string]string) {
	t.Helper()
	flag.Visit(func(f *flag.Flag) { delete(flags, f.Name) })
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Whatever happens in whatever order, leases agree on both sides and never exceed a source's
// slots, indexes hold what they should, a write is carried out once at most, and what is told
// of a name is durable and never goes back.
func TestTrackerModel(t *testing.T) {
	drawTheSame(t, map[string]string{"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "60"})
	rapid.Check(t, func(r *rapid.T) {
		m := &model{
			T: r, tracker: New(parameters()), state: newKeyValues(), sequence: map[string]int64{}, answers: map[uint64]Reply{}, told: map[string]int64{},
		}
		m.takeOver()
		r.Repeat(map[string]func(*rapid.T){
			"inventory": func(*rapid.T) { m.inventory() },
			"report":    func(*rapid.T) { m.inventory() },
			"use": func(*rapid.T) {
				m.id++
				m.step(UseCall{m.id, rapid.SampledFrom([]string{"x", "y"}).Draw(m.T, "name"), rapid.SampledFrom(manifests).Draw(m.T, "manifest")})
			},
			"state": func(*rapid.T) { m.answer() },
			"late": func(*rapid.T) {
				if len(m.late) > 0 {
					m.state.execute(m.late[0])
					m.late = m.late[1:]
				}
			},
			"time": func(*rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 6000).Draw(m.T, "ms")) * time.Millisecond
				m.term.Until = m.now + time.Minute
				m.step(Tick{})
			},
			"raise":     func(*rapid.T) { m.term.Token = m.state.lead() },
			"take over": func(*rapid.T) { m.takeOver() },
			"status": func(*rapid.T) {
				m.id++
				m.step(StatusCall{ID: m.id, Name: "x"})
			},
		})
	})
}

// ask gives a tracker that leads a command and gives the reply.
func ask(t *testing.T, x *Tracker, now time.Duration, term Term, c Command) Reply {
	t.Helper()
	for _, e := range x.Step(now, term, []Command{c}) {
		if r, ok := e.(Reply); ok {
			return r
		}
	}
	return Reply{}
}

// leading is a tracker that has read the names.
func leading(t *testing.T) (*Tracker, Term, *keyValues) {
	t.Helper()
	x, state := New(parameters()), newKeyValues()
	token := state.lead()
	term := Term{Reign: token, Token: token, Until: time.Hour}
	for _, e := range x.Step(0, term, []Command{Tick{}}) {
		x.Step(0, term, []Command{StateResult{state.execute(e.(StateCall).StateCall)}})
	}
	return x, term, state
}

// use has a name refer to a manifest, durably.
func use(t *testing.T, x *Tracker, term Term, state *keyValues, name string, d digest.Digest) {
	t.Helper()
	for _, e := range x.Step(0, term, []Command{UseCall{1, name, d}}) {
		if c, ok := e.(StateCall); ok {
			if r := ask(t, x, 0, term, StateResult{state.execute(c.StateCall)}); r.Status != http.StatusOK {
				t.Fatalf("%+v", r)
			}
		}
	}
}

func report(agent string, sequence int64, chunks int) *distribution.Inventory {
	return &distribution.Inventory{
		Agent: agent, Zone: "a", Address: agent + ":1", Session: 1, Sequence: sequence, UploadSlots: 2, Wants: []string{"x"},
		Holdings: []distribution.Holding{{Manifest: manifests[0], Chunks: chunks, Total: 4}},
	}
}

func answerTo(t *testing.T, r Reply) distribution.Answer {
	t.Helper()
	a, ok := r.Body.(distribution.Answer)
	if !ok || r.Status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	return a
}

// An inventory that was sent earlier and arrives later changes nothing: what the agent holds
// now stays known, and the report is refused.
func TestLateInventoryChangesNothing(t *testing.T) {
	x, term, state := leading(t)
	use(t, x, term, state, "x", manifests[0])
	answerTo(t, ask(t, x, time.Second, term, InventoryCall{2, report("one", 5, 4)}))
	for _, late := range []*distribution.Inventory{report("one", 4, 0), report("one", 5, 0), {Agent: "one", Zone: "a", Session: 0, Sequence: 9}} {
		if r := ask(t, x, 2*time.Second, term, InventoryCall{3, late}); r.Status != http.StatusConflict {
			t.Errorf("%+v", r)
		}
	}
	a := answerTo(t, ask(t, x, 3*time.Second, term, InventoryCall{4, report("two", 1, 0)}))
	if !slices.ContainsFunc(a.Sources, func(s distribution.Source) bool { return s.Agent == "one" }) {
		t.Errorf("sources %+v", a.Sources)
	}
}

// A controller in doubt, one that has not read the names and one that doesn't lead tell
// nothing: 503 with a time, or the request goes to the leader.
func TestOnlyACertainLeaderAnswers(t *testing.T) {
	x, term, state := leading(t)
	use(t, x, term, state, "x", manifests[0])
	term.Until = 10 * time.Second
	answerTo(t, ask(t, x, 9*time.Second, term, InventoryCall{2, report("one", 1, 0)}))
	if r := ask(t, x, 10*time.Second, term, InventoryCall{3, report("one", 2, 0)}); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("in doubt: %+v", r)
	}
	if r := ask(t, x, 11*time.Second, Term{}, NamesCall{ID: 4}); r.Status != http.StatusServiceUnavailable {
		t.Errorf("without a leader: %+v", r)
	}
	effects := x.Step(12*time.Second, Term{Leader: "n2"}, []Command{NamesCall{ID: 5}})
	if len(effects) != 1 || effects[0] != (Forward{5, "n2"}) {
		t.Errorf("a follower: %+v", effects)
	}
	if r := ask(t, x, 13*time.Second, Term{Reign: 9, Token: 9, Until: time.Hour}, NamesCall{ID: 6}); r.Status != http.StatusServiceUnavailable {
		t.Errorf("before the names are read: %+v", r)
	}
}

// Two operators ask for the same change, and the write's answer comes when the term is in
// doubt: neither is told that it holds, since another leader may have replaced it by then.
func TestQueuedChangeIsNotToldInDoubt(t *testing.T) {
	x, term, state := leading(t)
	effects := x.Step(0, term, []Command{UseCall{1, "x", manifests[0]}, UseCall{2, "x", manifests[0]}})
	result := StateResult{state.execute(effects[0].(StateCall).StateCall)}
	term.Until = time.Second
	statuses := map[uint64]int{}
	for _, e := range x.Step(2*time.Second, term, []Command{result}) {
		if r, ok := e.(Reply); ok {
			statuses[r.ID] = r.Status
		}
	}
	if statuses[1] != http.StatusServiceUnavailable || statuses[2] != http.StatusServiceUnavailable {
		t.Errorf("%v", statuses)
	}
}

// A source that two takers accuse of damage is given to nobody, one accuser's is only kept
// from that one, and a new session is believed again.
func TestAccusedSourcesAreNotGiven(t *testing.T) {
	x, term, state := leading(t)
	use(t, x, term, state, "x", manifests[0])
	at := func(name string, sequence, session int64, chunks int, accuses string) distribution.Answer {
		r := report(name, sequence, chunks)
		r.Session = session
		if accuses != "" {
			r.Faults = []distribution.SourceFault{{Source: accuses, Manifest: manifests[0], Fault: distribution.FaultDamaged}}
		}
		return answerTo(t, ask(t, x, 20*time.Second, term, InventoryCall{9, r}))
	}
	gives := func(a distribution.Answer) bool {
		return slices.ContainsFunc(a.Sources, func(s distribution.Source) bool { return s.Agent == "bad" })
	}
	at("bad", 1, 1, 4, "")
	if !gives(at("one", 1, 1, 0, "")) {
		t.Fatal("a sound source is not given")
	}
	if gives(at("one", 2, 1, 0, "bad")) {
		t.Error("given again to the one who accuses it")
	}
	if !gives(at("two", 1, 1, 0, "")) {
		t.Error("one accuser takes a source from all")
	}
	at("two", 2, 1, 0, "bad")
	if gives(at("three", 1, 1, 0, "")) {
		t.Error("given to a third after two accused it")
	}
	if a := at("bad", 2, 1, 4, ""); len(a.Recheck) != 1 {
		t.Errorf("the accused is not asked to verify: %+v", a)
	}
	at("bad", 1, 2, 4, "")
	if !gives(at("three", 2, 1, 0, "")) {
		t.Error("not believed in a new session")
	}
}

// Unknown zones, names and changes of what isn't there are refused with the field's name.
func TestRefusals(t *testing.T) {
	x, term, _ := leading(t)
	stranger := report("one", 1, 0)
	stranger.Zone = "nowhere"
	if r := ask(t, x, 0, term, InventoryCall{1, stranger}); r.Status != http.StatusBadRequest {
		t.Errorf("%+v", r)
	}
	if r := ask(t, x, 0, term, StatusCall{ID: 2, Name: "never"}); r.Status != http.StatusNotFound {
		t.Errorf("%+v", r)
	}
	for i := range maxQueuedChanges {
		if r := ask(t, x, 0, term, UseCall{uint64(10 + i), fmt.Sprint("n", i), manifests[0]}); r.Status != 0 {
			t.Fatalf("change %d: %+v", i, r)
		}
	}
	if r := ask(t, x, 0, term, UseCall{99, "more", manifests[0]}); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("%+v", r)
	}
}

// An agent that falls silent is forgotten with its leases, and so is nobody else.
func TestSilentAgentsAreForgotten(t *testing.T) {
	x, term, state := leading(t)
	use(t, x, term, state, "x", manifests[0])
	answerTo(t, ask(t, x, 0, term, InventoryCall{2, report("one", 1, 4)}))
	answerTo(t, ask(t, x, 10*time.Second, term, InventoryCall{3, report("two", 1, 0)}))
	x.Step(13*time.Second, term, []Command{Tick{}})
	if x.Agents() != 1 {
		t.Errorf("%d agents are known", x.Agents())
	}
	if a := answerTo(t, ask(t, x, 14*time.Second, term, InventoryCall{4, report("two", 2, 0)})); len(a.Sources) != 1 || a.Sources[0].Agent != distribution.StoreSource {
		t.Errorf("%+v", a.Sources)
	}
}

// What is looked at for an inventory doesn't grow with the number of agents.
func TestLooksDontGrowWithTheFleet(t *testing.T) {
	looks := func(agents int) float64 {
		x, term, state := leading(t)
		use(t, x, term, state, "x", manifests[0])
		for round := range int64(4) {
			for i := range agents {
				answerTo(t, ask(t, x, time.Duration(round)*time.Second, term, InventoryCall{2, report(fmt.Sprint(i), round+1, int(round))}))
			}
		}
		return float64(x.Counts().Examined) / float64(x.Counts().Inventories)
	}
	few, many := looks(40), looks(4000)
	t.Logf("looks for an inventory: %.1f with 40 agents, %.1f with 4,000", few, many)
	if many > 2*few+1 {
		t.Errorf("%.1f looks with 4,000 agents, %.1f with 40", many, few)
	}
}

// Names and agents are told in pages, each of which fits into a message between controllers;
// together they are all, each once.
func TestPagesHoldEverythingOnce(t *testing.T) {
	const many = 2000
	x, term, state := leading(t)
	for i := range many {
		use(t, x, term, state, fmt.Sprintf("x%04d", i), manifests[0])
	}
	use(t, x, term, state, "x", manifests[0])
	for i := range many {
		r := report(fmt.Sprintf("agent-%04d", i), 1, 2)
		r.Waits = []distribution.Wait{{Name: "x", Why: strings.Repeat("w", 200), Chunk: manifests[1], Chunks: 3}}
		answerTo(t, ask(t, x, time.Second, term, InventoryCall{2, r}))
	}
	fits := func(page any) {
		t.Helper()
		if text, err := json.Marshal(page); err != nil || len(text) > distribution.MaxMessageBytes {
			t.Fatalf("a page of %d bytes, %v", len(text), err)
		}
	}
	names, after := 0, ""
	for more := true; more; {
		page := ask(t, x, time.Second, term, NamesCall{ID: 3, After: after}).Body.(NamesPage)
		fits(page)
		names += len(page.Names)
		after, more = page.Names[len(page.Names)-1].Name, page.More
	}
	agents := map[string]bool{}
	after = ""
	for more := true; more; {
		page := ask(t, x, time.Second, term, StatusCall{ID: 4, Name: "x", After: after}).Body.(Status)
		fits(page)
		if page.Agents != many {
			t.Fatalf("%d agents", page.Agents)
		}
		for _, m := range page.Members {
			agents[m.Agent] = true
		}
		after, more = page.Members[len(page.Members)-1].Agent, page.More
	}
	if names != many+1 || len(agents) != many {
		t.Errorf("%d names and %d agents", names, len(agents))
	}
}
