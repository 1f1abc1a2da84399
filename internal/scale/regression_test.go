package scale

import (
	"math"
	"testing"
)

const tolerance = 1e-9

// Points on a line yield that line with a standard error of zero.
func TestFitLineThroughPointsOnALine(t *testing.T) {
	line, ok := fitLine("y", "x", []float64{1, 2, 4}, []float64{5, 7, 11})
	if !ok || math.Abs(line.Slope-2) > tolerance || math.Abs(line.Intercept-3) > tolerance || line.StandardError > tolerance {
		t.Errorf("%+v", line)
	}
}

func TestFitLineNeedsDifferentX(t *testing.T) {
	if _, ok := fitLine("y", "x", []float64{2, 2, 2}, []float64{1, 2, 3}); ok {
		t.Error("line fitted through points with the same x")
	}
}

func TestFitLineGivesStandardErrorOfSlope(t *testing.T) {
	line, _ := fitLine("y", "x", []float64{0, 1, 2, 3}, []float64{0, 1.2, 1.8, 3})
	if math.Abs(line.StandardError-math.Sqrt(0.072/2/5)) > tolerance { // calculated by hand
		t.Errorf("unexpected standard error %v", line.StandardError)
	}
}
