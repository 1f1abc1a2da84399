package cluster

import (
	"time"

	"oakpick/internal/resources"
)

// WorkloadClass holds statistics of a class of jobs, collected during the current term.
type WorkloadClass struct {
	Arrivals  []time.Duration // recent arrival times, oldest first
	Request   resources.Amount
	MeanTasks float64
	MeanRunS  float64 // mean run time of a task in seconds; 0 if unknown
	LatestJob *Job    // job that arrived last; nil if none has
}

const (
	// maxArrivals is the number of recent arrivals kept for each class.
	maxArrivals = 64
	// maxTasksCounted caps the weight of one large job in the mean number of tasks.
	maxTasksCounted = 64
	// meanDivisor is the inverse of a new value's weight in the moving means.
	meanDivisor = 8
)

func (s *State) class(j *Job) *WorkloadClass {
	c := s.Classes[j.Class]
	if c == nil {
		c = &WorkloadClass{Request: j.Request, MeanTasks: float64(j.Tasks)}
		s.Classes[j.Class] = c
	}
	return c
}

// ObserveArrival updates the statistics of a job's class when the job becomes ready to start.
func (s *State) ObserveArrival(j *Job) {
	c := s.class(j)
	c.Arrivals = append(c.Arrivals, s.context.Monotonic())
	if len(c.Arrivals) > maxArrivals {
		c.Arrivals = c.Arrivals[1:]
	}
	c.Request, c.LatestJob = j.Request, j
	c.MeanTasks += (float64(min(j.Tasks, maxTasksCounted)) - c.MeanTasks) / meanDivisor
}

// ObserveRun updates the mean run time of a job's class when a task completes.
func (s *State) ObserveRun(j *Job, ran time.Duration) {
	c := s.class(j)
	if c.MeanRunS == 0 {
		c.MeanRunS = ran.Seconds()
	}
	c.MeanRunS += (ran.Seconds() - c.MeanRunS) / meanDivisor
}
