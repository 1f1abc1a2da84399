package controller_test

import (
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/fake"
)

// link is the connection from one process to another.
type link struct{ from, to string }

// randomNetwork is a network with partitions, and with random losses, delays and duplicates of
// messages.
type randomNetwork struct {
	t              *rapid.T
	blocked        map[link]bool   // links on which all messages are lost
	responsesLost  map[string]bool // machines that get no responses and no commands
	heartbeatsLost map[string]bool // machines whose heartbeats are lost

	// Probabilities of faults for each message.
	lossPercent, latePercent, duplicatePercent int
	stateLatency                               time.Duration // added to responses of the state service
}

// newRandomNetwork makes a network without faults.
func newRandomNetwork(t *rapid.T) *randomNetwork {
	return &randomNetwork{
		t: t, blocked: map[link]bool{}, responsesLost: map[string]bool{}, heartbeatsLost: map[string]bool{},
	}
}

// partition blocks the links between a process and others in both directions.
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

// recover ends random losses, delays and duplicates of messages and the latency of the state service.
func (n *randomNetwork) recover() {
	n.lossPercent, n.latePercent, n.duplicatePercent, n.stateLatency = 0, 0, 0, 0
}

// deliver decides what happens to an exchange. It is the Network of a World.
func (n *randomNetwork) deliver(kind, from, to string) fake.Delivery {
	delivery := fake.Reliable()
	if n.blocked[link{from, to}] {
		delivery.LoseRequest = true
		if n.latePercent > 50 { // the message is held until the partition has ended
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

// injectFaults draws the faults of a message on a link that isn't blocked.
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

// drawBool draws true with the given probability in percent.
func (n *randomNetwork) drawBool(label string, percent int) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(n.t, label) < percent
}

// drawSeconds draws a delay of 1 to 40 seconds.
func (n *randomNetwork) drawSeconds(label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 40).Draw(n.t, label)) * time.Second
}
