package sweep

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes a sweep for a person: each figure's growth along each dimension, what the target needs, and whatever
// bends, is refused or was not played.
func (w *Sweep) WriteText(to io.Writer) error {
	out := bufio.NewWriter(to)
	last := ""
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, g := range w.Growth {
		if g.Dimension != last {
			last = g.Dimension
			fmt.Fprintf(t, "\n%s at %s\tunit\tvalues\tslope\tresidual\tnoise\texponent\ttarget\ttwice\n", g.Dimension, formatSizes(sortedUnique(g.Sizes)))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3g\t%.3g\t%.2f\t%.4g\t%.4g\n", g.Metric, g.Unit, g.formatValues(), g.formatSlope(), g.Fit.Residual, g.Noise,
			g.Fit.Exponent, g.Target, g.Twice)
	}
	fmt.Fprintln(t, "\nall sizes together, taken to multiply\tunit\tbase\ttarget\ttwice")
	for _, key := range sortedKeys(w.Joint) {
		if name, is := jointMetricName(key); is {
			fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\n", name, w.Joint[key].Unit, w.Joint[key].Value, w.Joint["joint."+name+".target"].Value, w.Joint["joint."+name+".twice"].Value)
		}
	}
	t.Flush()
	w.writeKinks(out)
	return out.Flush()
}

// jointMetricName is the figure's name of a key joint.NAME.base.
func jointMetricName(key string) (string, bool) {
	const before, after = "joint.", ".base"
	if len(key) < len(before)+len(after) || key[len(key)-len(after):] != after {
		return "", false
	}
	return key[len(before) : len(key)-len(after)], true
}

// formatValues are a figure's means by size, in the sizes' order.
func (g *Growth) formatValues() string {
	var all []string
	means := g.meansBySize()
	for _, size := range sortedUnique(g.Sizes) {
		all = append(all, fmt.Sprintf("%.4g", means[size]))
	}
	return strings.Join(all, " ")
}

// formatSlope is a figure's slope, or that there is none to tell.
func (g *Growth) formatSlope() string {
	if g.Flat {
		return "level"
	}
	return fmt.Sprintf("%.4g", g.Fit.Slope)
}

func (w *Sweep) writeKinks(out io.Writer) {
	fmt.Fprintln(out)
	none := true
	for _, g := range w.Growth {
		if g.Kink != "" {
			fmt.Fprintln(out, "kink:", g.Kink)
			none = false
		}
	}
	for _, k := range w.Kinks {
		fmt.Fprintln(out, "kink:", k)
		none = false
	}
	if none {
		fmt.Fprintln(out, "no kinks")
	}
	for _, l := range w.Skipped {
		fmt.Fprintln(out, "not played:", l)
	}
}
