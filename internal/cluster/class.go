package cluster

import (
	"time"

	"oakpick/internal/resources"
)

// WorkloadClass is what is learned of a class of jobs while leading.
type WorkloadClass struct {
	Arrivals  []time.Duration // lately, oldest first
	Request   resources.Amount
	MeanTasks float64
	MeanRunS  float64 // of a task, in seconds; 0: not known
	Sample    *Job    // the last that arrived; nil: none has
}

const (
	// maxArrivals is how many arrivals of a class are remembered.
	maxArrivals = 64
	// maxTasksCounted is how many tasks of one job count for the mean.
	maxTasksCounted = 64
	// meanWeight is the weight of what is known in a moving mean, to 1 for what is new.
	meanWeight = 8
)

func (s *State) class(j *Job) *WorkloadClass {
	c := s.Classes[j.Class]
	if c == nil {
		c = &WorkloadClass{Request: j.Request, MeanTasks: float64(j.Tasks)}
		s.Classes[j.Class] = c
	}
	return c
}

// ObserveArrival learns from a job that may start now.
func (s *State) ObserveArrival(j *Job) {
	c := s.class(j)
	c.Arrivals = append(c.Arrivals, s.context.Monotonic())
	if len(c.Arrivals) > maxArrivals {
		c.Arrivals = c.Arrivals[1:]
	}
	c.Request, c.Sample = j.Request, j
	c.MeanTasks += (float64(min(j.Tasks, maxTasksCounted)) - c.MeanTasks) / meanWeight
}

// ObserveRun learns from a task that completed.
func (s *State) ObserveRun(j *Job, ran time.Duration) {
	c := s.class(j)
	if c.MeanRunS == 0 {
		c.MeanRunS = ran.Seconds()
	}
	c.MeanRunS += (ran.Seconds() - c.MeanRunS) / meanWeight
}
