package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// termLost is the message that a controller logs when its term ends.
const termLost = "term lost"

// checkLeaderEffects returns an error if an effect that requires leadership follows the end of the
// controller's term in the same step, or if a request to provision or terminate machines has no time
// limit.
func checkLeaderEffects(c *fake.Controller, effects []message.Effect) error {
	ended := false
	for _, effect := range effects {
		if line, isLog := effect.(message.Log); isLog && line.Message == termLost {
			ended = true
		}
		if ended && needsLeadership(c, effect) {
			return fmt.Errorf("effect after the end of the term: %T %+v", effect, effect)
		}
		if call, isCall := effect.(message.CloudCall); isCall && changesFleet(call) && call.NotAfter == 0 {
			return fmt.Errorf("request without a time limit: %+v", call)
		}
	}
	return nil
}

func changesFleet(call message.CloudCall) bool {
	return call.Op == message.CloudScaleOut || call.Op == message.CloudScaleIn
}

// needsLeadership reports whether an effect requires leadership. Every controller may tell its peers
// that it has stepped down, and report its status to operators.
func needsLeadership(c *fake.Controller, effect message.Effect) bool {
	switch effect := effect.(type) {
	case message.CloudCall, message.CommandsCall:
		return true
	case message.PeerCall:
		return effect.Term > 0 // a follower's probe has no term
	case message.StateCall:
		return writesPages(effect.Txn)
	case message.Reply:
		switch c.PendingRequest(effect.ID).(type) {
		case message.UserRequest, message.HeartbeatRequest:
			return effect.Status/100 == 2
		}
	}
	return false
}

func writesPages(txn protocol.Txn) bool {
	for _, change := range txn.Then {
		if strings.HasPrefix(change.Put+change.Delete, storage.RecordsPrefix) || strings.HasPrefix(change.Put+change.Delete, storage.ArchivePrefix) {
			return true
		}
	}
	return false
}

// The leader loses the connection to all workers while machines have to be provisioned and scaled in,
// and resigns. From then on, also in the same step, none of its effects may require leadership. By the
// time such a request is sent, another leader may have placed tasks that the former leader doesn't
// know, and the request could terminate a machine with such tasks.
func TestNoLeaderEffectsAfterResignation(t *testing.T) {
	t.Parallel()
	resigned := 0
	for step := range 40 {
		if testResignation(t, time.Duration(step)*25*time.Millisecond) {
			resigned++
		}
	}
	if resigned < 20 {
		t.Errorf("the leader resigned in %d of 40 scenarios", resigned)
	}
}

// testResignation partitions the leader from the workers after a delay and reports whether it
// resigned.
func testResignation(t *testing.T, delay time.Duration) (resigned bool) {
	t.Helper()
	w := newWorld(t)
	standing := service(1, 5)
	standing.CPUs = 3
	w.Submit(standing, 0)
	waitRunning(t, w, standing.ID, 5)
	w.OnStep = func(c *fake.Controller, effects []message.Effect) {
		if err := checkLeaderEffects(c, effects); err != nil {
			t.Fatalf("%v: %s: %v\n%s", w.Now, c.Name, err, logTail(w, 10))
		}
	}
	w.Run(10*time.Second + delay)
	w.Network = func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindHeartbeat && to == "n0" || kind == fake.KindCommands && from == "n0"
		return delivery
	}
	number := 10
	for end := w.Now + 12*time.Second; w.Now < end; w.Run(100 * time.Millisecond) {
		s := job(number, protocol.Array, 1) // so that machines always have to be provisioned
		s.CPUs = 3
		w.Submit(s, time.Second)
		number++
	}
	w.Network = nil
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	return logContains(w, "heartbeats from nearly all workers are overdue")
}
