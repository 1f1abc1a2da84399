package controller

import "time"

// class is what is learned of a class of jobs while leading.
type class struct {
	arrivals []time.Duration // lately, oldest first
	need     need
	tasks    float64 // mean
	run      float64 // mean seconds of a task; 0: not known
	sample   *job
}

func (e *engine) classOf(j *job) *class {
	c := e.classes[j.Class]
	if c == nil {
		c = &class{need: j.need, tasks: float64(j.Tasks)}
		e.classes[j.Class] = c
	}
	return c
}

// arrived learns from a submission.
func (e *engine) arrived(j *job) {
	c := e.classOf(j)
	c.arrivals = append(c.arrivals, e.n.now.Monotonic)
	if len(c.arrivals) > 64 {
		c.arrivals = c.arrivals[1:]
	}
	c.need, c.sample = j.need, j
	c.tasks += (float64(min(j.Tasks, 64)) - c.tasks) / 8
}

// ran learns from a task that completed.
func (e *engine) ran(j *job, d time.Duration, known bool) {
	if !known {
		return
	}
	c := e.classOf(j)
	if c.run == 0 {
		c.run = d.Seconds()
	}
	c.run += (d.Seconds() - c.run) / 8
}
