package resources_test

import (
	"testing"

	"oakpick/internal/resources"
)

func TestCountIn(t *testing.T) {
	for _, c := range []struct {
		name              string
		request, capacity resources.Amount
		limit, want       int
	}{
		{"bound by processors", resources.Amount{CPUs: 2, MemoryGB: 1}, resources.Amount{CPUs: 7, MemoryGB: 64}, 100, 3},
		{"bound by GPUs", resources.Amount{CPUs: 1, GPUs: 1}, resources.Amount{CPUs: 64, GPUs: 2}, 100, 2},
		{"bound by memory", resources.Amount{CPUs: 1, MemoryGB: 16}, resources.Amount{CPUs: 64, MemoryGB: 40}, 100, 2},
		{"bound by the limit", resources.Amount{CPUs: 1}, resources.Amount{CPUs: 64}, 5, 5},
		{"decimal amounts", resources.Amount{CPUs: 0.1}, resources.Amount{CPUs: 0.3}, 100, 3},
		{"no capacity left", resources.Amount{CPUs: 1}, resources.Amount{CPUs: -2}, 100, 0},
		{"empty request", resources.Amount{}, resources.Amount{CPUs: 1}, 7, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.request.CountIn(c.capacity, c.limit); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestFitsInToleratesDecimalAmounts(t *testing.T) {
	free := resources.Amount{CPUs: 0.3}.Minus(resources.Amount{CPUs: 0.1}).Minus(resources.Amount{CPUs: 0.1})
	if request := (resources.Amount{CPUs: 0.1}); !request.FitsIn(free) {
		t.Errorf("%v does not fit in %v", request, free)
	}
	if request := (resources.Amount{CPUs: 0.11}); request.FitsIn(free) {
		t.Errorf("%v fits in %v", request, free)
	}
}
