package scale

import "oakpick/internal/scale/testbed"

// window holds the figures of the period between two samples. Rates are per second.
type window struct {
	workers, running float64 // means
	starts           float64 // rate
	puts             float64 // rate
	cores            []float64
	usage            []testbed.Usage // at the end
	traffic          map[testbed.TrafficKind]trafficRates
	handled          map[string]float64 // rates by kind of message; empty unless sameLeader
	leader           int                // at the end
	sameLeader       bool               // one controller led at the beginning and at the end
}

// trafficRates are rates per second.
type trafficRates struct{ messages, bytes float64 }

func newWindow(from, to sample) window {
	seconds := to.at.Sub(from.at).Seconds()
	w := window{
		workers: float64(from.workers+to.workers) / 2, running: float64(from.tasks+to.tasks) / 2,
		starts: float64(to.starts-from.starts) / seconds, puts: float64(to.puts-from.puts) / seconds, usage: to.usage,
		traffic: map[testbed.TrafficKind]trafficRates{}, handled: map[string]float64{},
		leader: to.leader, sameLeader: from.leader == to.leader && to.leader != testbed.NoLeader,
	}
	for controller := range to.usage {
		w.cores = append(w.cores, (to.usage[controller].CPUSeconds-from.usage[controller].CPUSeconds)/seconds)
	}
	for kind, until := range to.traffic {
		since := from.traffic[kind]
		w.traffic[kind] = trafficRates{
			messages: float64(until.Messages-since.Messages) / seconds,
			bytes:    float64(until.Bytes-since.Bytes) / seconds,
		}
	}
	if w.sameLeader {
		for kind := range to.handled {
			w.handled[kind] = float64(to.handled[kind]-from.handled[kind]) / seconds
		}
	}
	return w
}

// workerMessages returns the total rate of heartbeats and commands of all workers.
func (w window) workerMessages() float64 {
	return w.traffic[testbed.HeartbeatTraffic].messages + w.traffic[testbed.CommandTraffic].messages
}

// workerBytes returns the total byte rate of heartbeats and commands of all workers.
func (w window) workerBytes() float64 {
	return w.traffic[testbed.HeartbeatTraffic].bytes + w.traffic[testbed.CommandTraffic].bytes
}

// follower returns the number of one of the followers, and false if there are no followers.
func (w window) follower() (int, bool) {
	if len(w.cores) < 2 {
		return 0, false
	}
	return (w.leader + 1) % len(w.cores), true
}

func (w window) followerCores() float64 {
	if follower, ok := w.follower(); ok {
		return w.cores[follower]
	}
	return 0
}

func (w window) followerMemoryMB() float64 {
	if follower, ok := w.follower(); ok {
		return w.usage[follower].MemoryMB
	}
	return 0
}
