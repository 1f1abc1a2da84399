package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured points.
type Line struct {
	Of        string  `json:"of"`
	Against   string  `json:"against"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Error is the slope's standard error.
	Error  float64 `json:"error"`
	Points int     `json:"points"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// at is what the line says for a size.
func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// fit draws a line by least squares; false: the points don't differ in x.
func fit(of, against string, xs, ys []float64) (Line, bool) {
	n := float64(len(xs))
	spread := stat.Variance(xs, nil) * (n - 1)
	if len(xs) < 3 || spread == 0 {
		return Line{}, false
	}
	l := Line{Of: of, Against: against, Points: len(xs)}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	if math.IsNaN(l.R2) {
		l.R2 = 1 // every point has the same figure
	}
	rest := 0.0
	for i, x := range xs {
		d := ys[i] - l.at(x)
		rest += d * d
	}
	l.Error = math.Sqrt(rest / (n - 2) / spread)
	return l, true
}
