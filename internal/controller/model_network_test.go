package controller_test

import (
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/fake"
)

// link is the way from one process to another.
type link struct{ from, to string }

// randomNetwork is a network with partitions, and with losses, delays and duplicates that are
// drawn for each message.
type randomNetwork struct {
	t              *rapid.T
	blocked        map[link]bool   // nothing arrives
	responsesLost  map[string]bool // machines that get no responses and no commands
	heartbeatsLost map[string]bool // machines whose heartbeats reach nobody

	// Of messages, in hundredths.
	lossPercent, latePercent, duplicatePercent int
	stateLatency                               time.Duration // of responses of the state service
}

// newRandomNetwork makes a network without faults.
func newRandomNetwork(t *rapid.T) *randomNetwork {
	return &randomNetwork{
		t: t, blocked: map[link]bool{}, responsesLost: map[string]bool{}, heartbeatsLost: map[string]bool{},
	}
}

// partition blocks the links between a process and others, both ways.
func (n *randomNetwork) partition(name string, others ...string) {
	for _, other := range others {
		n.blocked[link{name, other}], n.blocked[link{other, name}] = true, true
	}
}

// heal ends a partition.
func (n *randomNetwork) heal(name string, others ...string) {
	for _, other := range others {
		delete(n.blocked, link{name, other})
		delete(n.blocked, link{other, name})
	}
}

// recover ends losses, delays and duplicates.
func (n *randomNetwork) recover() {
	n.lossPercent, n.latePercent, n.duplicatePercent, n.stateLatency = 0, 0, 0, 0
}

// deliver is the World's Network.
func (n *randomNetwork) deliver(kind, from, to string) fake.Delivery {
	delivery := fake.Reliable()
	if n.blocked[link{from, to}] {
		delivery.LoseRequest = true
		if n.latePercent > 50 { // held, and delivered when the partition ends
			delivery.LoseRequest, delivery.RequestDelay = false, 20*time.Second
		}
		return delivery
	}
	if kind == fake.KindState {
		delivery.ResponseDelay += n.stateLatency
	}
	switch {
	case n.heartbeatsLost[from] && kind == fake.KindHeartbeat:
		delivery.LoseRequest = true
	case n.responsesLost[to] && kind == fake.KindCommands:
		delivery.LoseRequest, delivery.LoseResponse = true, true
	case n.responsesLost[from] && kind == fake.KindHeartbeat:
		delivery.LoseResponse = true
	default:
		n.injectFaults(&delivery)
	}
	return delivery
}

// injectFaults draws what happens to a message that isn't blocked.
func (n *randomNetwork) injectFaults(delivery *fake.Delivery) {
	delivery.LoseRequest = n.drawBool("lose request", n.lossPercent)
	delivery.LoseResponse = n.drawBool("lose response", n.lossPercent)
	if n.drawBool("late", n.latePercent) {
		delivery.RequestDelay = n.drawSeconds("late by")
	}
	if n.drawBool("duplicate", n.duplicatePercent) {
		delivery.DuplicateAfter = n.drawSeconds("duplicate after")
	}
}

// drawBool draws whether something drawBool that does so in a share of cases, in hundredths.
func (n *randomNetwork) drawBool(label string, share int) bool {
	return share > 0 && rapid.IntRange(0, 99).Draw(n.t, label) < share
}

// drawSeconds draws a delay.
func (n *randomNetwork) drawSeconds(label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 40).Draw(n.t, label)) * time.Second
}
