// Package resources does arithmetic on amounts of machine resources.
package resources

// Tolerance is the amount by which a request may exceed a capacity and still fit. It absorbs the
// rounding errors of decimal amounts.
const Tolerance = 1e-6

// unlimited is more of a resource than any fleet has.
const unlimited = 1e12

// Amount is an amount of a machine's resources.
type Amount struct{ CPUs, GPUs, MemoryGB float64 }

// Unlimited returns an amount that exceeds the resources of any fleet.
func Unlimited() Amount { return Amount{unlimited, unlimited, unlimited} }

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemoryGB + b.MemoryGB}
}

// Minus returns the difference.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemoryGB - b.MemoryGB}
}

// Times returns the amount multiplied by k.
func (a Amount) Times(k float64) Amount {
	return Amount{a.CPUs * k, a.GPUs * k, a.MemoryGB * k}
}

// FitsIn reports whether the amount fits into a capacity.
func (a Amount) FitsIn(capacity Amount) bool {
	return a.CPUs <= capacity.CPUs+Tolerance && a.GPUs <= capacity.GPUs+Tolerance && a.MemoryGB <= capacity.MemoryGB+Tolerance
}

// CountIn returns how many times the amount fits into a capacity, at most limit.
func (a Amount) CountIn(capacity Amount, limit int) int {
	count := limit
	for _, resource := range [][2]float64{{a.CPUs, capacity.CPUs}, {a.GPUs, capacity.GPUs}, {a.MemoryGB, capacity.MemoryGB}} {
		if requested, available := resource[0], resource[1]; requested > 0 {
			count = min(count, int((available+Tolerance)/requested))
		}
	}
	return max(0, count)
}
