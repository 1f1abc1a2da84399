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

// termLost is the log line with which a node's term ends.
const termLost = "term lost"

// checkLeaderEffects returns an error if something that only a leader may do leaves a step after
// the node's term has ended in it, or if machines are to be provisioned or released without a
// bound in time.
func checkLeaderEffects(c *fake.Controller, effects []message.Effect) error {
	ended := false
	for _, effect := range effects {
		if line, isLog := effect.(message.Log); isLog && line.Message == termLost {
			ended = true
		}
		if ended && needsLeadership(c, effect) {
			return fmt.Errorf("after the end of the term: %T %+v", effect, effect)
		}
		if call, isCall := effect.(message.CloudCall); isCall && changesFleet(call) && call.NotAfter == 0 {
			return fmt.Errorf("without a bound in time: %+v", call)
		}
	}
	return nil
}

func changesFleet(call message.CloudCall) bool {
	return call.Op == message.CloudScaleOut || call.Op == message.CloudScaleIn
}

// needsLeadership tells whether only a leader may have an effect. Peers are told that the node has
// stepped down, and operators how it is, by whoever they ask.
func needsLeadership(c *fake.Controller, effect message.Effect) bool {
	switch effect := effect.(type) {
	case message.CloudCall, message.CommandsCall:
		return true
	case message.PeerCall:
		return effect.Term > 0 // a follower's probe names no term
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

// Every worker loses the leader at a moment, while machines are to be provisioned and released, so
// that it resigns: nothing that only a leader may do leaves it after that, in the same step either.
// What another leader has begun by the time such a request is sent would otherwise not be known to
// it, and the request could release a machine that has tasks again.
func TestResignedLeaderDecidesNothingMore(t *testing.T) {
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

// testResignation cuts the leader off from the workers after a delay, and tells whether it resigned.
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
		s := job(number, protocol.Array, 1) // there is always something to be provisioned for
		s.CPUs = 3
		w.Submit(s, time.Second)
		number++
	}
	w.Network = nil
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	return logContains(w, "no worker is heard any more")
}
