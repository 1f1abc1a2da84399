package controller

// need is an amount of a machine's resources.
type need struct{ cpus, gpus, mem float64 }

const slack = 1e-6 // amounts arrive as decimal numbers

func (a need) plus(b need) need  { return need{a.cpus + b.cpus, a.gpus + b.gpus, a.mem + b.mem} }
func (a need) minus(b need) need { return need{a.cpus - b.cpus, a.gpus - b.gpus, a.mem - b.mem} }
func (a need) times(k float64) need {
	return need{a.cpus * k, a.gpus * k, a.mem * k}
}
func (a need) fits(b need) bool {
	return a.cpus <= b.cpus+slack && a.gpus <= b.gpus+slack && a.mem <= b.mem+slack
}

// count is how often a fits into b, at most limit.
func (a need) count(b need, limit int) int {
	n := limit
	for _, p := range [][2]float64{{a.cpus, b.cpus}, {a.gpus, b.gpus}, {a.mem, b.mem}} {
		if p[0] > 0 {
			n = min(n, int((p[1]+slack)/p[0]))
		}
	}
	return max(0, n)
}
