package sweep

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit is how one metric grows with one size, in the metric's own unit.
type Fit struct {
	Intercept        float64 `json:"intercept"`
	Slope            float64 `json:"slope"`     // for each step of the size, by linear regression
	Residual         float64 `json:"residual"`  // root mean square of what the line leaves
	Quadratic        float64 `json:"quadratic"` // of the parabola through the same points, by least squares
	ChordDeviation   float64 `json:"bent"`      // how far that parabola leaves its chord within the sizes played
	ParabolaResidual float64 `json:"bent_left"` // root mean square of what the parabola leaves
	Exponent         float64 `json:"exponent"`  // of a power law, the slope of the logarithms; 0 where a value is not above 0
	AtOne            float64 `json:"at_one"`    // value of that law at size 1; 0 where there is none
}

// fitGrowth fits the line, the parabola and the power law. It needs as many ys as xs, three at least, of two sizes at least.
func fitGrowth(xs, ys []float64) Fit {
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.Residual = rootMeanSquare(xs, ys, func(x float64) float64 { return f.Intercept + f.Slope*x })
	if a, b, c, ok := fitParabola(xs, ys); ok {
		f.Quadratic = c
		f.ParabolaResidual = rootMeanSquare(xs, ys, func(x float64) float64 { return a + b*x + c*x*x })
		width := rangeOf(xs)
		f.ChordDeviation = math.Abs(c) * width * width / 4
	}
	f.AtOne, f.Exponent = fitPowerLaw(xs, ys)
	return f
}

// predict is the line's value at a size. Metrics are not below 0: where a falling line is, as for a fixed cost that more
// and more agents share, the power law's value is returned.
func (f Fit) predict(x float64) float64 {
	y := f.Intercept + f.Slope*x
	if y <= 0 && f.AtOne > 0 {
		return f.AtOne * math.Pow(x, f.Exponent)
	}
	return y
}

// rootMeanSquare is that of what a curve leaves.
func rootMeanSquare(xs, ys []float64, curve func(float64) float64) float64 {
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - curve(x)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(xs)))
}

// fitParabola fits a + b x + c x² by least squares; false where the sizes do not determine it. Sizes are divided by the
// largest for the solution's sake, as their squares would drown the constant.
func fitParabola(xs, ys []float64) (a, b, c float64, ok bool) {
	if len(xs) < 3 {
		return 0, 0, 0, false
	}
	scale := 0.0
	for _, x := range xs {
		scale = max(scale, math.Abs(x))
	}
	if scale == 0 {
		return 0, 0, 0, false
	}
	m := mat.NewDense(len(xs), 3, nil)
	for i, x := range xs {
		m.SetRow(i, []float64{1, x / scale, x / scale * x / scale})
	}
	var solved mat.VecDense
	if err := solved.SolveVec(m, mat.NewVecDense(len(ys), append([]float64(nil), ys...))); err != nil {
		return 0, 0, 0, false
	}
	return solved.AtVec(0), solved.AtVec(1) / scale, solved.AtVec(2) / scale / scale, true
}

// fitPowerLaw fits a line to the logarithms: the law's value at size 1 and its exponent, zeroes where a value is not above 0.
func fitPowerLaw(xs, ys []float64) (atOne, exponent float64) {
	var logXs, logYs []float64
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			return 0, 0
		}
		logXs = append(logXs, math.Log(xs[i]))
		logYs = append(logYs, math.Log(ys[i]))
	}
	logAtOne, exponent := stat.LinearRegression(logXs, logYs, nil, false)
	return math.Exp(logAtOne), exponent
}

// rangeOf is the distance from the least to the largest.
func rangeOf(xs []float64) float64 {
	least := math.Inf(1)
	largest := math.Inf(-1)
	for _, x := range xs {
		least = min(least, x)
		largest = max(largest, x)
	}
	return largest - least
}

// minKinkShare is the share of a metric's largest value by which its curve must leave the chord to be a kink.
const minKinkShare = 0.1

// isKinked reports whether the parabola clearly explains more than the line: it leaves the chord by more than minKinkShare
// and by more than the noise, and leaves less than half of the line's residual.
func (f Fit) isKinked(ys []float64, noise float64) bool {
	largest := 0.0
	for _, y := range ys {
		largest = max(largest, math.Abs(y))
	}
	standsOut := f.ChordDeviation > minKinkShare*largest && f.ChordDeviation > noiseFactor*noise
	return standsOut && f.ParabolaResidual < f.Residual/2
}
