package transport

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oakpick/internal/message"
)

// slowHandler processes requests one at a time and takes 10 ms for each, even if the sender has
// given up.
type slowHandler struct {
	queue chan chan struct{}
	ended chan struct{}
}

func newSlowHandler() *slowHandler {
	h := &slowHandler{queue: make(chan chan struct{}, 10_000), ended: make(chan struct{})}
	go func() {
		for done := range h.queue {
			time.Sleep(10 * time.Millisecond)
			close(done)
		}
		close(h.ended)
	}()
	return h
}

func (h *slowHandler) Handle(_ message.Request, _ RawRequest, timeout time.Duration) message.Reply {
	done := make(chan struct{})
	h.queue <- done
	select {
	case <-done:
		return message.Reply{Status: http.StatusOK}
	case <-time.After(timeout):
		return Unavailable("not decided in time")
	}
}

func (*slowHandler) Healthy() bool { return true }

// answersUnderOverload has 300 users poll for 20 s, each again one second after a response, and
// counts the successful responses.
func answersUnderOverload(t *testing.T, limited bool) int64 {
	t.Helper()
	var inTime atomic.Int64
	synctest.Test(t, func(*testing.T) {
		handler := newSlowHandler()
		limit := NewConcurrencyLimit(75, 2*time.Second, func() {})
		end := time.Now().Add(20 * time.Second)
		// Requests that a peer has forwarded bypass the limit.
		poll := RawRequest{Method: http.MethodGet, Path: "/v2/runs/wk-1", FromPeer: !limited}
		var users sync.WaitGroup
		for range 300 {
			users.Go(func() {
				for time.Now().Before(end) {
					if handleUserRequest(handler, limit, poll).Status == http.StatusOK {
						inTime.Add(1)
					}
					time.Sleep(time.Second)
				}
			})
		}
		users.Wait()
		close(handler.queue)
		<-handler.ended
	})
	return inTime.Load()
}

// The load is three times the capacity of the handler. Without a limit, the queue grows until
// every response comes too late. With the limit, nearly all of the handler's work leads to
// responses in time. The handler could process 2000 requests in the 20 s.
func TestLimitKeepsAnswersInTimeUnderOverload(t *testing.T) {
	with := answersUnderOverload(t, true)
	without := answersUnderOverload(t, false)
	t.Logf("answers in time: %d with the limit, %d without", with, without)
	if with < 1500 || without > with/2 {
		t.Errorf("%d answers in time with the limit, %d without", with, without)
	}
}

// Polls hold every permit. A waiting submission gets the first permit that is released, and a poll
// that arrives while it waits is refused. If no permit is released in time, the submission is
// refused.
func TestSubmissionsHavePriorityOverPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := NewConcurrencyLimit(8, 2*time.Second, func() {})
		answered := func() message.Reply { return message.Reply{Status: http.StatusOK} }
		hold, polls := make(chan struct{}), 0
		for limit.limiter.CanAcquirePermit() {
			go limit.Run(func() message.Reply { <-hold; return answered() })
			polls++
			synctest.Wait()
		}
		if reply := limit.RunWithPriority(answered); reply.Status != http.StatusServiceUnavailable {
			t.Errorf("a submission got %d while every permit was held", reply.Status)
		}
		submitted := make(chan int, 1)
		go func() { submitted <- limit.RunWithPriority(answered).Status }()
		synctest.Wait()
		if reply := limit.Run(answered); reply.Status != http.StatusServiceUnavailable ||
			reply.RetryAfterS < retryAfterS || reply.RetryAfterS >= retryAfterS+retryJitterS {
			t.Errorf("a poll got %d, to come back after %d s", reply.Status, reply.RetryAfterS)
		}
		hold <- struct{}{}
		synctest.Wait()
		select {
		case status := <-submitted:
			if status != http.StatusOK {
				t.Errorf("the submission got %d", status)
			}
		default:
			t.Error("the submission still waits")
		}
		for range polls - 1 {
			hold <- struct{}{}
		}
	})
}
