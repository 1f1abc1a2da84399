package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/election"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// The answer to a write is lost, and the write landed: it is recognised by its
// own id, and the leader goes on.
func TestCommittedWriteWithLostResponse(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	lost := 0
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState && from == "n0" && w.State.WriteTransactions > 1 && lost < 2 {
			lost++
			delivery.LoseResponse = true
		}
		return delivery
	}
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	if lost == 0 || !w.Controllers[0].Leads() || w.Controllers[0].Stats().TermsAcquired != 1 {
		t.Errorf("%d answers lost, terms %d", lost, w.Controllers[0].Stats().TermsAcquired)
	}
	requireNoViolations(t, w)
}

// submissionAnswer is how and after what time a submission was answered; 0: not yet.
type submissionAnswer struct {
	status int
	after  time.Duration
}

// submitOnce submits a service to n0 once.
func submitOnce(w *fake.World, id int) *submissionAnswer {
	s, answer, sentAt := service(id, 3), &submissionAnswer{}, w.Now
	w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
		*answer = submissionAnswer{r.Status, w.Now - sentAt}
	})
	return answer
}

// A submission that can't be made durable is refused when that is known, not
// when its user has waited long enough; one that can be, however slowly, waits.
func TestSubmissionRefusedImmediatelyOrCommitted(t *testing.T) {
	t.Run("outage", testSubmissionInOutage)
	t.Run("long queue", testSubmissionBehindLongQueue)
	t.Run("slow", testSubmissionToSlowStateService)
}

// testSubmissionInOutage submits as an outage begins, in it and after it.
func testSubmissionInOutage(t *testing.T) {
	t.Helper()
	w := newWorld(t)
	w.Run(5 * time.Second)
	w.State.SetOutage(true)
	first := submitOnce(w, 1)
	w.Run(1500 * time.Millisecond) // the term's lease is a second
	if first.status != 503 || first.after > 1200*time.Millisecond {
		t.Errorf("when the outage began: %d after %v", first.status, first.after)
	}
	if next := submitOnce(w, 2); next.status != 503 {
		t.Errorf("in the outage: %d", next.status)
	}
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
	if again := submitOnce(w, 1); again.status != 200 {
		t.Errorf("the first, asked again: %d", again.status)
	}
}

// testSubmissionBehindLongQueue submits more at once than the write rate lets through.
func testSubmissionBehindLongQueue(t *testing.T) {
	t.Helper()
	w := newWorld(t)
	w.Run(5 * time.Second)
	var answers []*submissionAnswer
	const submitted = 600 // more than the write budget lets through while they wait
	for i := range submitted {
		answers = append(answers, submitOnce(w, i+1))
	}
	refused := 0
	for _, a := range answers {
		if a.status == 503 {
			refused++
		}
	}
	w.Run(4 * time.Second)
	for i, a := range answers {
		if a.status != 503 && a.status != 201 || a.after > protocol.SubmitTimeoutS*time.Second*3/4 {
			t.Fatalf("number %d: %d after %v", i, a.status, a.after)
		}
	}
	if refused == 0 || refused > 300 {
		t.Errorf("%d of %d refused at once", refused, submitted)
	}
}

// testSubmissionToSlowStateService submits while writes take long.
func testSubmissionToSlowStateService(t *testing.T) {
	t.Helper()
	w := newWorld(t)
	w.Run(5 * time.Second)
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState {
			delivery.ResponseDelay = 300 * time.Millisecond
		}
		return delivery
	}
	answer := submitOnce(w, 1)
	w.Run(2 * time.Second)
	if answer.status != 201 || answer.after < 300*time.Millisecond {
		t.Errorf("%d after %v", answer.status, answer.after)
	}
}

// lossyWrites says which requests to the state service get no response.
type lossyWrites struct {
	oneOf   int           // one of so many
	late    time.Duration // and is executed so much later; 0: at once
	crashes bool          // the leader crashes, too
}

// Every kind of write is carried out and its answer lost, or carried out
// only after newer ones, while others read: each is recognised, none counts twice.
func TestWritesWithLostResponses(t *testing.T) {
	t.Parallel()
	for _, lossy := range []lossyWrites{
		{oneOf: 2},
		{oneOf: 3, crashes: true},
		{oneOf: 3, late: 2 * time.Second},
		{oneOf: 4, late: 12 * time.Second, crashes: true},
		{oneOf: 2, late: 5 * time.Second, crashes: true},
		{oneOf: 5, late: 700 * time.Millisecond, crashes: true},
	} {
		t.Run(fmt.Sprintf("one of %d, %v, %t", lossy.oneOf, lossy.late, lossy.crashes), func(t *testing.T) {
			t.Parallel()
			for first := range 8 {
				testWritesWithLostResponses(t, lossy, first)
			}
		})
	}
}

// testWritesWithLostResponses varies with the first request that is counted.
func testWritesWithLostResponses(t *testing.T, lossy lossyWrites, first int) {
	t.Helper()
	w := newWorld(t)
	requests, until := first, w.Now+60*time.Second
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState && w.Now < until {
			requests++
			if requests%lossy.oneOf == 0 {
				delivery.LoseResponse = true
				delivery.RequestDelay += lossy.late
			}
		}
		return delivery
	}
	var services []*fake.Job
	for i := range 12 {
		if i%3 == 0 {
			services = append(services, w.Submit(service(i+1, 1), 0))
		} else {
			w.Submit(job(i+1, protocol.JobKind(i%2), 1+i%3), 4*time.Second)
		}
		w.Run(1700 * time.Millisecond)
		w.PollAll()
		if i == 8 {
			w.CancelEverywhere(services[0])
		}
	}
	if lossy.crashes {
		crashLeader(w, 2*time.Second)
	}
	runAndPoll(w, 120*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if services[0].Status != protocol.StatusCancelled {
		t.Errorf("status %q", services[0].Status)
	}
	if known, there := w.KnownMachines(), len(w.Cloud.MachineNames()); !lossy.crashes && known != there {
		t.Errorf("%d machines known of %d", known, there)
	}
}

// conflictingStateService refuses every write of a page for a condition, and says that another
// leader has written the page.
type conflictingStateService struct {
	refused int
	replies []message.Reply // of the controller to its users
}

// respond answers an effect at once.
func (s *conflictingStateService) respond(effect message.Effect) message.Event {
	switch call := effect.(type) {
	case message.Reply:
		s.replies = append(s.replies, call)
	case message.CloudCall:
		if call.Op == message.CloudListTypes {
			return message.CloudResult{ID: call.ID, Types: fake.Types()}
		}
	case message.StateCall:
		return message.StateResult{StateResult: s.execute(call)}
	}
	return nil
}

// execute answers a call to the state service.
func (s *conflictingStateService) execute(call message.StateCall) storage.StateResult {
	result := storage.StateResult{ID: call.ID, Revision: 7}
	switch {
	case call.Op == storage.StateGet && call.Key == election.LeaderKey:
		result.Outcome = rpc.NotFound
	case call.Op == storage.StateGet:
		another := protocol.Encode(storage.PageValue{WriteID: "another-1"})
		result.Entry = protocol.Entry{Key: call.Key, Version: 9, Value: another}
	case call.Op == storage.StateTxn && len(call.Txn.Then) > 0 && call.Txn.Then[0].Put != election.LeaderKey:
		result.Outcome = rpc.Conflict
		s.refused++
	}
	return result
}

// A write is refused for a condition, and the page holds neither what it was nor
// our own write: another leads. Nobody is told that what was asked is durable.
func TestConflictingWriteOfAnotherLeader(t *testing.T) {
	state := &conflictingStateService{}
	c := newSteppedController(&config.Config{Node: "n0", Settings: fake.Settings()}, state.respond)
	for range 4 {
		c.tick(400 * time.Millisecond)
	}
	if !c.leads() {
		t.Fatalf("is %s", c.Role())
	}
	s := service(1, 1)
	c.deliver(message.UserRequest{ID: 1, Kind: message.Submit, Job: s.ID, Submission: &s})
	if state.refused == 0 || c.leads() {
		t.Errorf("%d writes refused, and is %s", state.refused, c.Role())
	}
	for _, r := range state.replies {
		if r.Status < 400 {
			t.Errorf("status %d", r.Status)
		}
	}
}
