package scale

import (
	"testing"
	"time"

	"oakpick/internal/scale/testbed"
)

// sampleAt returns a sample taken at the given second, when as many workers exist and the leader has
// handled the given number of heartbeats and started as many tasks.
func sampleAt(second, leader int, reports int64) sample {
	return sample{
		at: time.Unix(int64(second), 0), leader: leader, workers: second, starts: reports, handled: map[string]int64{"report": reports},
		usage:   []testbed.Usage{{CPUSeconds: float64(second) / 2}},
		traffic: map[testbed.TrafficKind]testbed.Traffic{testbed.HeartbeatTraffic: {Messages: reports, Bytes: 100 * reports}},
	}
}

func TestWindowHasRatesAndMeans(t *testing.T) {
	w := newWindow(sampleAt(10, 0, 100), sampleAt(14, 0, 108))
	if w.workers != 12 || w.starts != 2 || w.cores[0] != 0.5 || w.handled["report"] != 2 || !w.sameLeader {
		t.Errorf("%+v", w)
	}
	if w.workerMessages() != 2 || w.workerBytes() != 200 {
		t.Errorf("unexpected traffic of workers: %+v", w.traffic)
	}
}

// Counts of handled messages of different leaders can't be compared.
func TestWindowWithAnotherLeaderHasNoHandledRates(t *testing.T) {
	for _, leader := range []int{1, testbed.NoLeader} {
		w := newWindow(sampleAt(10, 0, 100), sampleAt(14, leader, 108))
		if w.sameLeader || len(w.handled) != 0 {
			t.Errorf("leader %d: %+v", leader, w)
		}
	}
}
