package sweep

import (
	"math"
	"strconv"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit describes how one metric grows with one size, in the metric's unit.
type Fit struct {
	Intercept        float64 `json:"intercept"`
	Slope            float64 `json:"slope"`     // per unit of the size, by linear regression
	Residual         float64 `json:"residual"`  // root mean square of the line's residuals
	Quadratic        float64 `json:"quadratic"` // quadratic coefficient of the least-squares parabola
	ChordDeviation   float64 `json:"bent"`      // maximum deviation of the parabola from its chord over the measured sizes
	ParabolaResidual float64 `json:"bent_left"` // root mean square of the parabola's residuals
	Exponent         float64 `json:"exponent"`  // of the power law; 0 if a size or value is not positive
	AtOne            float64 `json:"at_one"`    // value of the power law at size 1; 0 if there is none
}

// fitGrowth fits the line, the parabola and the power law. xs and ys must have the same length of at least three, and
// xs must contain at least two different sizes. Rounding errors are removed from the result, since they differ between
// kinds of machines.
func fitGrowth(xs, ys []float64) Fit {
	f := fitExactly(xs, ys)
	f.removeRoundingErrors(rangeOf(xs), largestOf(ys))
	return f
}

func fitExactly(xs, ys []float64) Fit {
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

// removeRoundingErrors sets to 0 what is negligible beside the largest value, and rounds the rest. width is the range of
// the sizes.
func (f *Fit) removeRoundingErrors(width, largest float64) {
	negligible := largest * maxRoundingError
	if math.Abs(f.Slope)*width < negligible {
		f.Slope = 0
	}
	if f.ChordDeviation < negligible {
		f.Quadratic = 0
	}
	if math.Abs(f.Exponent) < maxRoundingError {
		f.Exponent = 0
	}
	for _, v := range []*float64{&f.Intercept, &f.Residual, &f.ChordDeviation, &f.ParabolaResidual} {
		if math.Abs(*v) < negligible {
			*v = 0
		}
	}
	for _, v := range []*float64{&f.Intercept, &f.Slope, &f.Residual, &f.Quadratic, &f.ChordDeviation, &f.ParabolaResidual, &f.Exponent, &f.AtOne} {
		*v = roundDigits(*v)
	}
}

// maxRoundingError is the largest part of a value that can be a rounding error.
const maxRoundingError = 1e-10

// roundDigits rounds a value to ten significant digits.
func roundDigits(v float64) float64 {
	// The text is always a number, or one of the words for infinity and NaN.
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 9, 64), 64)
	return rounded
}

// predict returns the line's value at a size. Metrics are never negative: if a falling line is not positive at the
// size, as for a fixed cost shared by a growing number of agents, predict returns the power law's value instead.
func (f Fit) predict(x float64) float64 {
	y := f.Intercept + f.Slope*x
	if y <= 0 && f.AtOne > 0 {
		return f.AtOne * math.Pow(x, f.Exponent)
	}
	return y
}

// rootMeanSquare returns the root mean square of the residuals of a curve.
func rootMeanSquare(xs, ys []float64, curve func(float64) float64) float64 {
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - curve(x)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(xs)))
}

// fitParabola fits a + b x + c x² by least squares. ok is false if the sizes do not determine a parabola. The sizes
// are scaled by the largest one, because their squares would otherwise make the system ill-conditioned.
func fitParabola(xs, ys []float64) (a, b, c float64, ok bool) {
	if len(xs) < 3 {
		return 0, 0, 0, false
	}
	scale := largestOf(xs)
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

// fitPowerLaw fits a line to the logarithms. It returns the power law's value at size 1 and its exponent, or zeros if a
// size or value is not positive.
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

// largestOf returns the largest absolute value.
func largestOf(vs []float64) float64 {
	largest := 0.0
	for _, v := range vs {
		largest = max(largest, math.Abs(v))
	}
	return largest
}

// rangeOf returns the difference between the largest and the smallest value.
func rangeOf(xs []float64) float64 {
	smallest := math.Inf(1)
	largest := math.Inf(-1)
	for _, x := range xs {
		smallest = min(smallest, x)
		largest = max(largest, x)
	}
	return largest - smallest
}

// minKinkShare is the minimum deviation of a kinked curve from its chord, as a share of the metric's largest value.
const minKinkShare = 0.1

// isKinked reports whether the parabola fits clearly better than the line: it deviates from its chord by more than
// minKinkShare and by more than noiseFactor times the noise, and its residual is less than half the line's.
func (f Fit) isKinked(ys []float64, noise float64) bool {
	largest := largestOf(ys)
	significant := f.ChordDeviation > minKinkShare*largest && f.ChordDeviation > noiseFactor*noise
	return significant && f.ParabolaResidual < f.Residual/2
}
