package controller_test

import (
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/fake"
)

// link is the way from one process to another.
type link struct{ from, to string }

// drawnNetwork is a network with partitions, and with losses, delays and duplicates that are
// drawn for each message.
type drawnNetwork struct {
	t            *rapid.T
	blocked      map[link]bool   // nothing arrives
	unanswered   map[string]bool // machines that get no responses and no commands
	noHeartbeats map[string]bool // machines whose heartbeats reach nobody

	// Of messages, in hundredths.
	loss, late, duplicates int
	stateLatency           time.Duration // of responses of the state service
}

// newDrawnNetwork makes a network without faults.
func newDrawnNetwork(t *rapid.T) *drawnNetwork {
	return &drawnNetwork{
		t: t, blocked: map[link]bool{}, unanswered: map[string]bool{}, noHeartbeats: map[string]bool{},
	}
}

// partition blocks the links between a process and others, both ways.
func (n *drawnNetwork) partition(name string, others ...string) {
	for _, other := range others {
		n.blocked[link{name, other}], n.blocked[link{other, name}] = true, true
	}
}

// heal ends a partition.
func (n *drawnNetwork) heal(name string, others ...string) {
	for _, other := range others {
		delete(n.blocked, link{name, other})
		delete(n.blocked, link{other, name})
	}
}

// recover ends losses, delays and duplicates.
func (n *drawnNetwork) recover() { n.loss, n.late, n.duplicates, n.stateLatency = 0, 0, 0, 0 }

// deliver is the World's Network.
func (n *drawnNetwork) deliver(kind, from, to string) fake.Delivery {
	delivery := fake.Reliable()
	if n.blocked[link{from, to}] {
		delivery.LoseRequest = true
		if n.late > 50 { // held, and delivered when the partition ends
			delivery.LoseRequest, delivery.RequestDelay = false, 20*time.Second
		}
		return delivery
	}
	if kind == fake.KindState {
		delivery.ResponseDelay += n.stateLatency
	}
	switch {
	case n.noHeartbeats[from] && kind == fake.KindHeartbeat:
		delivery.LoseRequest = true
	case n.unanswered[to] && kind == fake.KindCommands:
		delivery.LoseRequest, delivery.LoseResponse = true, true
	case n.unanswered[from] && kind == fake.KindHeartbeat:
		delivery.LoseResponse = true
	default:
		n.disturb(&delivery)
	}
	return delivery
}

// disturb draws what happens to a message that isn't blocked.
func (n *drawnNetwork) disturb(delivery *fake.Delivery) {
	delivery.LoseRequest = n.happens("lose request", n.loss)
	delivery.LoseResponse = n.happens("lose response", n.loss)
	if n.happens("late", n.late) {
		delivery.RequestDelay = n.seconds("late by")
	}
	if n.happens("duplicate", n.duplicates) {
		delivery.DuplicateAfter = n.seconds("duplicate after")
	}
}

// happens draws whether something happens that does so in a share of cases, in hundredths.
func (n *drawnNetwork) happens(label string, share int) bool {
	return share > 0 && rapid.IntRange(0, 99).Draw(n.t, label) < share
}

// seconds draws a delay.
func (n *drawnNetwork) seconds(label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 40).Draw(n.t, label)) * time.Second
}
