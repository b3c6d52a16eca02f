package sweep

import (
	"fmt"
	"io"
	"strings"

	"example.org/ryeloft/internal/scale/textwriter"
)

// WriteText writes a readable report: the growth of each metric along each dimension, the values extrapolated to the
// target, the kinks, and what was skipped.
func (w *Sweep) WriteText(to io.Writer) error {
	out := textwriter.New(to)
	out.Table(func(t *textwriter.Writer) {
		w.writeGrowth(t)
		w.writeJoint(t)
	})
	w.writeKinks(out)
	return out.Flush()
}

func (w *Sweep) writeGrowth(t *textwriter.Writer) {
	dimension := ""
	for _, g := range w.Growth {
		if g.Dimension != dimension {
			dimension = g.Dimension
			t.Printf("\n%s at %s\tunit\tvalues\tslope\tresidual\tnoise\texponent\ttarget\ttwice\n", dimension, formatSizes(sortedUnique(g.Sizes)))
		}
		t.Printf("%s\t%s\t%s\t%s\t%.3g\t%.3g\t%.2f\t%.4g\t%.4g\n", g.Metric, g.Unit, g.formatValues(), g.formatSlope(), g.Fit.Residual, g.Noise,
			g.Fit.Exponent, g.Target, g.Twice)
	}
}

func (w *Sweep) writeJoint(t *textwriter.Writer) {
	t.Println("\nall sizes together, taken to multiply\tunit\tbase\ttarget\ttwice")
	for _, key := range sortedKeys(w.Joint) {
		name, isBase := jointMetricName(key)
		if !isBase {
			continue
		}
		atBase := w.Joint[key]
		target := w.Joint[jointPrefix+name+suffixTarget]
		twice := w.Joint[jointPrefix+name+suffixTwice]
		t.Printf("%s\t%s\t%.4g\t%.4g\t%.4g\n", name, atBase.Unit, atBase.Value, target.Value, twice.Value)
	}
}

func (w *Sweep) writeKinks(out *textwriter.Writer) {
	out.Println()
	var kinks []string
	for _, g := range w.Growth {
		if g.Kink != "" {
			kinks = append(kinks, g.Kink)
		}
	}
	kinks = append(kinks, w.Kinks...)
	for _, k := range kinks {
		out.Println("kink:", k)
	}
	if len(kinks) == 0 {
		out.Println("no kinks")
	}
	for _, s := range w.Skipped {
		out.Println("skipped:", s)
	}
}

// formatValues returns the mean value at each size, ordered by size.
func (g *Growth) formatValues() string {
	var all []string
	means := g.meansBySize()
	for _, size := range sortedUnique(g.Sizes) {
		all = append(all, fmt.Sprintf("%.4g", means[size]))
	}
	return strings.Join(all, " ")
}

// formatSlope returns the slope, or "level" if the growth is flat.
func (g *Growth) formatSlope() string {
	if g.Flat {
		return "level"
	}
	return fmt.Sprintf("%.4g", g.Fit.Slope)
}

func formatSizes(sizes []float64) string {
	var all []string
	for _, s := range sizes {
		all = append(all, fmt.Sprintf("%g", s))
	}
	return strings.Join(all, ", ")
}
