package testbed

import (
	"errors"
	"testing"
)

func TestCheckFlagsNamesFlagAndRange(t *testing.T) {
	type embedded struct {
		Steps []float64 `name:"steps" validate:"dive,lte=1"`
	}
	type flags struct {
		embedded
		Workers int `name:"workers" validate:"gte=2"`
	}
	for _, test := range []struct {
		name  string
		flags flags
		want  []FlagError
	}{
		{"in range", flags{embedded{[]float64{1}}, 2}, nil},
		{"number too small", flags{Workers: 1}, []FlagError{{"workers", "gte", "2"}}},
		{"element too large", flags{embedded{[]float64{1, 2}}, 2}, []FlagError{{"steps[1]", "lte", "1"}}},
		{"several", flags{embedded{[]float64{3}}, 0}, []FlagError{{"steps[0]", "lte", "1"}, {"workers", "gte", "2"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			problems := CheckFlags(&test.flags)
			if len(problems) != len(test.want) {
				t.Fatalf("got %v, want %v", problems, test.want)
			}
			for i, problem := range problems {
				var got *FlagError
				if !errors.As(problem, &got) || *got != test.want[i] {
					t.Errorf("got %v, want %+v", problem, test.want[i])
				}
			}
		})
	}
}
