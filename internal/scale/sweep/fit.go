package sweep

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Fit is how one figure grows with one size. Its figures are in the figure's own unit.
type Fit struct {
	Intercept        float64 `json:"intercept"`
	Slope            float64 `json:"slope"`     // for each step of the size, by linear regression
	Residual         float64 `json:"residual"`  // root mean square of what the line leaves
	Quadratic        float64 `json:"quadratic"` // of the parabola through the same points, by least squares
	ChordDeviation   float64 `json:"bent"`      // how far that parabola leaves its chord within the sizes played
	ParabolaResidual float64 `json:"bent_left"` // root mean square of what the parabola leaves
	Exponent         float64 `json:"exponent"`  // of a power law, the slope of the logarithms; 0 where a figure is not above 0
	AtOne            float64 `json:"at_one"`    // what that law says for size 1; 0 where there is none
}

// fitGrowth fits the line, the parabola and the power law. It wants as many ys as xs, three at least, of two sizes at least.
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

// predict is what the line says for a size. Figures are not below 0: where the line of one that falls says that, as it does of
// a fixed cost that more and more agents share, the power law speaks instead.
func (f Fit) predict(x float64) float64 {
	y := f.Intercept + f.Slope*x
	if y <= 0 && f.AtOne > 0 {
		return f.AtOne * math.Pow(x, f.Exponent)
	}
	return y
}

// rootMeanSquare is the root mean square of what a curve leaves.
func rootMeanSquare(xs, ys []float64, curve func(float64) float64) float64 {
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - curve(x)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(xs)))
}

// fitParabola is a + b x + c x² by least squares; false where the sizes do not settle it. The sizes are taken relative to
// their largest for the solution's sake: their squares would drown the constant.
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

// fitPowerLaw is the power law through the logarithms: its value at size 1 and its exponent; zeroes where one is not above 0.
func fitPowerLaw(xs, ys []float64) (atOne, exponent float64) {
	var lx, ly []float64
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			return 0, 0
		}
		lx, ly = append(lx, math.Log(xs[i])), append(ly, math.Log(ys[i]))
	}
	at, exponent := stat.LinearRegression(lx, ly, nil, false)
	return math.Exp(at), exponent
}

// rangeOf is the distance from the least to the largest.
func rangeOf(xs []float64) float64 {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, x := range xs {
		lo, hi = min(lo, x), max(hi, x)
	}
	return hi - lo
}

// minKinkShare is how much of a figure's largest value its curve must leave the chord by to be called a kink.
const minKinkShare = 0.1

// isKinked says whether a parabola explains clearly more than the line: it bends by more than a tenth of the largest value
// and by more than three times the noise, and leaves less than half of what the line leaves.
func (f Fit) isKinked(ys []float64, noise float64) bool {
	largest := 0.0
	for _, y := range ys {
		largest = max(largest, math.Abs(y))
	}
	return f.ChordDeviation > minKinkShare*largest && f.ChordDeviation > noiseFactor*noise && f.ParabolaResidual < f.Residual/2
}
