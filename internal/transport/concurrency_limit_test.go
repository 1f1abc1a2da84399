package transport

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oakpick/internal/message"
)

// slowHandler takes ten milliseconds for each command, one after the other, also
// for those whose askers have given up.
type slowHandler struct {
	queue chan chan struct{}
	over  chan struct{}
}

func newSlowHandler() *slowHandler {
	o := &slowHandler{queue: make(chan chan struct{}, 10_000), over: make(chan struct{})}
	go func() {
		for done := range o.queue {
			time.Sleep(10 * time.Millisecond)
			close(done)
		}
		close(o.over)
	}()
	return o
}

func (o *slowHandler) Handle(_ message.Request, _ RawRequest, wait time.Duration) message.Reply {
	done := make(chan struct{})
	o.queue <- done
	select {
	case <-done:
		return message.Reply{Status: 200}
	case <-time.After(wait):
		return Unavailable("not decided in time")
	}
}

func (o *slowHandler) Healthy() bool { return true }

// answersInBurst has three hundred users ask for twenty seconds, each again a second
// after an answer, and counts the answers that were of use.
func answersInBurst(t *testing.T, limited bool) int64 {
	t.Helper()
	var good atomic.Int64
	synctest.Test(t, func(*testing.T) {
		o := newSlowHandler()
		limit := NewConcurrencyLimit(75, 2*time.Second, func() {})
		end := time.Now().Add(20 * time.Second)
		left := make(chan struct{}, 300)
		for range 300 {
			go func() {
				for time.Now().Before(end) {
					// What a peer has let in isn't limited again.
					raw := RawRequest{Method: "GET", Path: "/v2/runs/wk-1", FromPeer: !limited}
					if handleUserRequest(o, limit, raw).Status == 200 {
						good.Add(1)
					}
					time.Sleep(time.Second)
				}
				left <- struct{}{}
			}()
		}
		for range 300 {
			<-left
		}
		close(o.queue)
		<-o.over
	})
	return good.Load()
}

// Three times more is asked than can be answered. Without a limit the queue
// grows until whatever is answered comes too late; with it, nearly all that can
// be done is of use. The owner could do 2000 in the time.
func TestLimitKeepsAnswersOfUseInABurst(t *testing.T) {
	with := answersInBurst(t, true)
	without := answersInBurst(t, false)
	t.Logf("answers in time: %d with the limit, %d without", with, without)
	if with < 1500 || without > with/2 {
		t.Errorf("%d answers in time with the limit, %d without", with, without)
	}
}

// Questions take every permit, and come again at once whenever one is refused. A submission
// waits for the first permit that is given back and goes before all of them; one for which
// none is given back in time is told to come back.
func TestSubmissionsGoBeforeQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := NewConcurrencyLimit(8, 2*time.Second, func() {})
		answered := func() message.Reply { return message.Reply{Status: 200} }
		hold, asked := make(chan struct{}), 0
		for limit.limiter.CanAcquirePermit() {
			go limit.Run(func() message.Reply { <-hold; return answered() })
			asked++
			synctest.Wait()
		}
		if r := limit.RunWithPriority(answered); r.Status != 503 {
			t.Errorf("a submission got %d while every permit was held", r.Status)
		}
		got := make(chan int, 1)
		go func() { got <- limit.RunWithPriority(answered).Status }()
		synctest.Wait()
		if r := limit.Run(answered); r.Status != 503 || r.RetryAfterS < retryAfterS || r.RetryAfterS >= retryAfterS+retryJitterS {
			t.Errorf("a question got %d, to come back after %d s", r.Status, r.RetryAfterS)
		}
		hold <- struct{}{}
		synctest.Wait()
		select {
		case status := <-got:
			if status != 200 {
				t.Errorf("the submission got %d", status)
			}
		default:
			t.Error("the submission still waits")
		}
		for range asked - 1 {
			hold <- struct{}{}
		}
	})
}
