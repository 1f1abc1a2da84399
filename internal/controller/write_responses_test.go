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

// A write is executed and its response is lost. The leader recognizes the write by its ID and keeps
// its term.
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
		t.Errorf("%d responses lost, %d terms acquired", lost, w.Controllers[0].Stats().TermsAcquired)
	}
	requireNoViolations(t, w)
}

// submissionResponse is the status of the response to a submission, with its latency.
type submissionResponse struct {
	status  int // 0 until the response arrives
	latency time.Duration
}

// submitOnce submits a service to n0 once.
func submitOnce(w *fake.World, id int) *submissionResponse {
	s, answer, sentAt := service(id, 3), &submissionResponse{}, w.Now
	w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
		*answer = submissionResponse{r.Status, w.Now - sentAt}
	})
	return answer
}

// A submission that can't be made durable is refused as soon as that is known, not only when its
// request times out. A submission that can be made durable waits for its write, however slow that is.
func TestSubmissionRefusedImmediatelyOrCommitted(t *testing.T) {
	t.Run("outage", testSubmissionInOutage)
	t.Run("long queue", testSubmissionBehindLongQueue)
	t.Run("slow", testSubmissionToSlowStateService)
}

// testSubmissionInOutage submits as an outage begins, during it and after it.
func testSubmissionInOutage(t *testing.T) {
	t.Helper()
	w := newWorld(t)
	w.Run(5 * time.Second)
	w.State.SetOutage(true)
	first := submitOnce(w, 1)
	w.Run(1500 * time.Millisecond) // the lease of the term lasts one second
	if first.status != 503 || first.latency > 1200*time.Millisecond {
		t.Errorf("submitted as the outage began: status %d after %v", first.status, first.latency)
	}
	if next := submitOnce(w, 2); next.status != 503 {
		t.Errorf("submitted during the outage: status %d", next.status)
	}
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
	if again := submitOnce(w, 1); again.status != 200 {
		t.Errorf("first submission repeated after the outage: status %d", again.status)
	}
}

// testSubmissionBehindLongQueue submits more at once than the write rate permits.
func testSubmissionBehindLongQueue(t *testing.T) {
	t.Helper()
	w := newWorld(t)
	w.Run(5 * time.Second)
	var answers []*submissionResponse
	const submitted = 600 // more than the write budget permits before the submissions time out
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
		if a.status != 503 && a.status != 201 || a.latency > protocol.SubmitTimeoutS*time.Second*3/4 {
			t.Fatalf("submission %d: status %d after %v", i, a.status, a.latency)
		}
	}
	if refused == 0 || refused > 300 {
		t.Errorf("%d of %d submissions refused at once", refused, submitted)
	}
}

// testSubmissionToSlowStateService submits while the responses of the state service are delayed.
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
	if answer.status != 201 || answer.latency < 300*time.Millisecond {
		t.Errorf("status %d after %v", answer.status, answer.latency)
	}
}

// lossyWrites selects the requests to the state service that get no response.
type lossyWrites struct {
	everyNth       int           // each request whose number is a multiple of this gets no response
	executionDelay time.Duration // how much later such a request is executed
	leaderCrashes  bool          // whether the leader crashes, too
}

// Writes of every kind get no response. They are executed at once or only after newer writes, while
// the same records are read. Each must be recognized, and none may take effect twice.
func TestWritesWithLostResponses(t *testing.T) {
	t.Parallel()
	for _, lossy := range []lossyWrites{
		{everyNth: 2},
		{everyNth: 3, leaderCrashes: true},
		{everyNth: 3, executionDelay: 2 * time.Second},
		{everyNth: 4, executionDelay: 12 * time.Second, leaderCrashes: true},
		{everyNth: 2, executionDelay: 5 * time.Second, leaderCrashes: true},
		{everyNth: 5, executionDelay: 700 * time.Millisecond, leaderCrashes: true},
	} {
		t.Run(fmt.Sprintf("one of %d, %v, %t", lossy.everyNth, lossy.executionDelay, lossy.leaderCrashes), func(t *testing.T) {
			t.Parallel()
			for first := range 8 {
				testWritesWithLostResponses(t, lossy, first)
			}
		})
	}
}

// testWritesWithLostResponses counts requests from requestOffset on, so that each offset selects other
// requests to get no response.
func testWritesWithLostResponses(t *testing.T, lossy lossyWrites, requestOffset int) {
	t.Helper()
	w := newWorld(t)
	requests, until := requestOffset, w.Now+60*time.Second
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState && w.Now < until {
			requests++
			if requests%lossy.everyNth == 0 {
				delivery.LoseResponse = true
				delivery.RequestDelay += lossy.executionDelay
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
	if lossy.leaderCrashes {
		crashLeader(w, 2*time.Second)
	}
	runAndPoll(w, 120*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if services[0].Status != protocol.StatusCancelled {
		t.Errorf("the cancelled service has status %q", services[0].Status)
	}
	if known, actual := w.KnownMachines(), len(w.Cloud.MachineNames()); !lossy.leaderCrashes && known != actual {
		t.Errorf("%d machines known, %d exist", known, actual)
	}
}

// conflictingStateService responds to every page write with a conflict, and returns pages that appear
// to be written by another leader.
type conflictingStateService struct {
	conflicts int
	replies   []message.Reply // from the controller to its users
}

// respond returns the response to an effect, or nil if there is none.
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

// execute returns the result of a call to the state service.
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
		s.conflicts++
	}
	return result
}

// A write fails with a conflict, and the page has neither its former value nor the value that this
// leader wrote, so another controller leads. This controller must stop leading, and must not tell a
// user that a request is durable.
func TestConflictingWriteOfAnotherLeader(t *testing.T) {
	state := &conflictingStateService{}
	c := newSteppedController(&config.Config{Node: "n0", Settings: fake.Settings()}, state.respond)
	for range 4 {
		c.tick(400 * time.Millisecond)
	}
	if !c.leads() {
		t.Fatalf("the role is %q, not leader", c.Role())
	}
	s := service(1, 1)
	c.deliver(message.UserRequest{ID: 1, Kind: message.Submit, Job: s.ID, Submission: &s})
	if state.conflicts == 0 || c.leads() {
		t.Errorf("%d writes refused, the role is %q", state.conflicts, c.Role())
	}
	for _, r := range state.replies {
		if r.Status < 400 {
			t.Errorf("a user got status %d", r.Status)
		}
	}
}
