package election

import (
	"testing"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// testTiming uses round values to keep the times in tests readable.
var testTiming = timing.Election{
	LeaseTTL: 10 * time.Second, RenewInterval: 2 * time.Second, CheckInterval: 4 * time.Second, RetryInterval: time.Second,
	HeartbeatGrace: 20 * time.Second, StepDownInterval: time.Second, TokenInterval: 5 * time.Second,
	ProbeInterval: time.Second, ProbeTimeout: 3 * time.Second, ResignBackoff: 8 * time.Second,
}

// fakeDelegate counts the calls that it receives.
type fakeDelegate struct{ acquired, steppedDown, advanced int }

func (d *fakeDelegate) TermAcquired()  { d.acquired++ }
func (d *fakeDelegate) SteppedDown()   { d.steppedDown++ }
func (d *fakeDelegate) TokenAdvanced() { d.advanced++ }

// harness runs the elector of node n0, whose peers are n1 and n2.
type harness struct {
	*Elector
	t        *testing.T
	calls    *step.StateCalls
	delegate *fakeDelegate
	sent     []message.Effect // effects of the last step
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	context := step.NewContext(1, time.Hour)
	calls, delegate := step.NewStateCalls(context), &fakeDelegate{}
	h := &harness{t: t, calls: calls, delegate: delegate}
	h.Elector = New(context, calls, testTiming, "n0", "process-1", []string{"n1", "n2"}, delegate)
	return h
}

// step runs one step at the given time. It calls do, if set, before Tick.
func (h *harness) step(at time.Duration, do func()) {
	h.context.Begin(message.Now{Monotonic: at})
	if do != nil {
		do()
	}
	h.Tick()
	h.sent = h.context.Effects()
}

// request returns the last state service request of the given kind in the last step.
func (h *harness) request(op storage.StateOp) storage.StateCall {
	h.t.Helper()
	for i := len(h.sent) - 1; i >= 0; i-- {
		if call, ok := h.sent[i].(message.StateCall); ok && call.Op == op {
			return call.StateCall
		}
	}
	h.t.Fatalf("no request of kind %d among %d effects", op, len(h.sent))
	return storage.StateCall{}
}

// answer delivers the state service result of a request in a step at the given time.
func (h *harness) answer(at time.Duration, call storage.StateCall, result storage.StateResult) {
	result.ID = call.ID
	h.step(at, func() { h.calls.Handle(result) })
}

// firstToken is the fencing token of a term started by lead.
const firstToken = 5

// lead makes the node the leader at the time of one second.
func (h *harness) lead() {
	h.t.Helper()
	h.step(0, nil)
	h.answer(0, h.request(storage.StateGet), storage.StateResult{Outcome: rpc.NotFound})
	h.answer(time.Second, h.request(storage.StateGrantLease), storage.StateResult{Revision: 77})
	h.answer(time.Second, h.request(storage.StateTxn), storage.StateResult{Revision: firstToken})
	if h.delegate.acquired != 1 || h.Token() != firstToken {
		h.t.Fatalf("acquired %d times, token %d", h.delegate.acquired, h.Token())
	}
	h.step(time.Second, h.BeginLeading)
}

func TestLeaderKeyIsAcquiredWithGrantedLease(t *testing.T) {
	h := newHarness(t)
	h.step(0, nil)
	h.answer(0, h.request(storage.StateGet), storage.StateResult{Outcome: rpc.NotFound})
	h.answer(0, h.request(storage.StateGrantLease), storage.StateResult{Revision: 77})
	txn := h.request(storage.StateTxn).Txn
	if len(txn.If) != 1 || txn.If[0] != (protocol.Condition{Key: LeaderKey}) {
		t.Errorf("conditions %+v", txn.If)
	}
	if len(txn.Then) != 1 || txn.Then[0].Put != LeaderKey || txn.Then[0].Lease != 77 {
		t.Errorf("changes %+v", txn.Then)
	}
}

func TestLeaseCountsFromTimeOfRequest(t *testing.T) {
	h := newHarness(t)
	h.lead()
	// The lease was requested at 0 s for 10 s, minus the clock drift and the safety margin.
	const last, expired = 9450 * time.Millisecond, 9500 * time.Millisecond
	h.step(last, nil)
	if !h.HoldsLease() {
		t.Errorf("the lease is not held at %v", last)
	}
	renewal := h.request(storage.StateRenewLease)
	h.step(expired, nil)
	if h.HoldsLease() || !h.Leading() {
		t.Errorf("at %v: holds the lease %t, leads %t", expired, h.HoldsLease(), h.Leading())
	}
	h.answer(expired, renewal, storage.StateResult{})
	if !h.HoldsLease() || h.LeaseUntil() <= last+9*time.Second || h.LeaseUntil() >= last+10*time.Second {
		t.Errorf("renewed until %v", h.LeaseUntil())
	}
}

func TestLeaderStepsDownOnlyForNewerTerm(t *testing.T) {
	for _, c := range []struct {
		name string
		term int64
		want int
	}{
		{"an older term", firstToken - 1, 0},
		{"its own term", firstToken, 0},
		{"a newer term", firstToken + 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.lead()
			h.step(2*time.Second, func() { h.HandleStepDownRequest(message.StepDownRequest{ID: 1, Term: c.term, Leader: "n1"}, nil) })
			if h.delegate.steppedDown != c.want || h.Leading() == (c.want == 1) {
				t.Errorf("stepped down %d times, leads %t", h.delegate.steppedDown, h.Leading())
			}
			if c.want == 1 && h.OtherLeader() != "n1" {
				t.Errorf("follows %q", h.OtherLeader())
			}
		})
	}
}

func TestResultsOfEndedTermsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.lead()
	h.step(4*time.Second, nil)
	renewal := h.request(storage.StateRenewLease)
	h.step(5*time.Second, func() { h.StepDown("test") })
	h.answer(6*time.Second, renewal, storage.StateResult{})
	if h.LeaseUntil() != 0 || h.Token() != 0 {
		t.Errorf("lease until %v, token %d", h.LeaseUntil(), h.Token())
	}
}

func TestTokenAdvanceWaitsForWritesInFlight(t *testing.T) {
	h := newHarness(t)
	h.lead()
	inFlight := true
	advance := func() { h.AdvanceToken(true, func() bool { return inFlight }) }
	h.step(6*time.Second, advance)
	if !h.AwaitsWrites() || h.AdvancingToken() {
		t.Errorf("awaits writes %t, advances %t", h.AwaitsWrites(), h.AdvancingToken())
	}
	inFlight = false
	h.step(7*time.Second, advance)
	if h.AwaitsWrites() || !h.AdvancingToken() {
		t.Errorf("awaits writes %t, advances %t", h.AwaitsWrites(), h.AdvancingToken())
	}
	h.answer(7*time.Second, h.request(storage.StateTxn), storage.StateResult{Revision: 9})
	if h.Token() != 9 || h.FirstToken() != firstToken || h.delegate.advanced != 1 {
		t.Errorf("token %d, first %d, delegate notified %d times", h.Token(), h.FirstToken(), h.delegate.advanced)
	}
}

// The response to a token advance is lost although the transaction was committed. The elector
// detects this by the value of the leader key.
func TestCommittedTokenAdvanceIsDetectedAfterLostResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*leaderValue)
		want   int64 // expected token; 0 after a step-down
	}{
		{"its own value", func(*leaderValue) {}, 9},
		{"of another process", func(v *leaderValue) { v.Process = "process-2" }, 0},
		{"of an earlier advance", func(v *leaderValue) { v.TokenAdvances = 0 }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.lead()
			h.step(7*time.Second, func() { h.AdvanceToken(true, func() bool { return false }) })
			h.answer(7*time.Second, h.request(storage.StateTxn), storage.StateResult{Outcome: rpc.Conflict})
			value := leaderValue{Node: "n0", Process: "process-1", Lease: 77, TokenAdvances: 1}
			c.change(&value)
			entry := protocol.Entry{Key: LeaderKey, Value: protocol.Encode(value), Version: 9}
			h.answer(7*time.Second, h.request(storage.StateGet), storage.StateResult{Entry: entry})
			if h.Token() != c.want {
				t.Errorf("token %d, want %d", h.Token(), c.want)
			}
		})
	}
}

func TestEarlierLeadersAreSilentAfterAllPeersStepDown(t *testing.T) {
	h := newHarness(t)
	h.lead()
	confirm := func(peer string) func() {
		return func() {
			h.HandlePeerResult(message.PeerResult{
				PeerCall: message.PeerCall{Peer: peer, Term: firstToken}, StepDownResponse: protocol.StepDownResponse{SteppedDown: true},
			})
		}
	}
	bound := h.EarlierLeadersSilentAt()
	if grace := bound - h.LeadingSince(); grace < testTiming.HeartbeatGrace {
		t.Errorf("silent after %v, before the grace period of %v ends", grace, testTiming.HeartbeatGrace)
	}
	h.step(2*time.Second, confirm("n1"))
	if got := h.EarlierLeadersSilentAt(); got != bound {
		t.Errorf("silent at %v though n2 has confirmed nothing", got)
	}
	h.step(3*time.Second, confirm("n2"))
	if got := h.EarlierLeadersSilentAt(); got != 3*time.Second {
		t.Errorf("silent at %v", got)
	}
}
