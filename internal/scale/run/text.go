package run

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"example.org/ryeloft/internal/scale/result"
)

// Violations names what keeps a run from being ok: budgets that are exceeded or were not measured, ratios off their factor,
// changes that the stand-in told late by its own clock, real agents that were not up after a restart, and a run that was cut short.
func Violations(r *result.Run) []string {
	var names []string
	for _, b := range r.Budgets {
		if !b.OK {
			names = append(names, b.Name)
		}
	}
	for _, x := range r.Ratios {
		if !x.OK {
			names = append(names, "ratio:"+x.Name)
		}
	}
	if r.LateNotifications > 0 {
		names = append(names, "late_told")
	}
	if r.RestartsNotUp > 0 {
		names = append(names, "not_up")
	}
	if r.Incomplete != "" {
		names = append(names, "incomplete")
	}
	return names
}

// WriteText writes a run for a person: sizes, tables, a line for each budget as `name measured budget ok|OVER`, and a
// last line that says whether all held.
func WriteText(w io.Writer, r *result.Run) error {
	out := bufio.NewWriter(w)
	s := r.Sizes
	fmt.Fprintf(out, "%s: %d servers of %d services, %d agents (%d real), depth %d, %.0f calls/s, %.3g configurations/min, %.0f s, seed %d; took %.1f s\n",
		r.Scenario, s.Servers, s.Services, s.Agents, s.Real, s.Depth, s.CallsPerSecond, s.ChangesPerMinute, s.Seconds, s.Seed, r.WallSeconds)
	if r.Incomplete != "" {
		fmt.Fprintf(out, "incomplete: %s\n", r.Incomplete)
	}
	writeAgents(out, r)
	writeControl(out, r.Control)
	writeDepths(out, r.Depths)
	if len(r.Depths) > 0 && !r.ModelKeptTime {
		fmt.Fprintf(out, "the machine was too busy for the modelled calls: they were handled late by %s ms (p50/p99/max), and what is said of calls does not hold\n", quantiles(r.ModelLagMS))
	}
	writeEvents(out, r.Events)
	writeAdded(out, r.Added)
	writeRatios(out, r.Ratios)
	fmt.Fprintln(out, "\nbudgets (name measured budget):")
	table(out, func(t io.Writer) {
		for _, b := range r.Budgets {
			fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%s\n", b.Name, b.Measured, b.Limit, verdict(b.OK))
		}
	})
	if r.LateNotifications > 0 {
		fmt.Fprintf(out, "late_told %d 0 OVER\n", r.LateNotifications)
	}
	if r.RestartsNotUp > 0 {
		fmt.Fprintf(out, "not_up %d 0 OVER\n", r.RestartsNotUp)
	}
	if names := Violations(r); len(names) > 0 {
		fmt.Fprintf(out, "scale: OVER %s\n", strings.Join(names, ","))
	} else {
		fmt.Fprintln(out, "scale: ok")
	}
	return out.Flush()
}

func verdict(ok bool) string {
	if ok {
		return "ok"
	}
	return "OVER"
}

// table aligns what write puts into it in cells that end with tabs.
func table(out io.Writer, write func(io.Writer)) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	write(t)
	t.Flush()
}

func writeAgents(out io.Writer, r *result.Run) {
	fmt.Fprintln(out, "\nagents, for control alone:")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "sort\tagents\tin B/s\tout B/s\tworst 6 s B/s p50/p99/max\tcpu %\theap MB\trss MB max\tlist in force ms p50/p99/max\theard ms p50/p99\tconfig in force ms p50/p99/max\tunheard")
		for _, row := range []struct {
			name string
			result.AgentControl
		}{{"hollow", r.Simulated}, {"real", r.Real}} {
			fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%s\t%.3f\t%.2f\t%.1f\t%s\t%.1f/%.1f\t%s\t%d\n", row.name, row.Agents, row.BytesIn.Mean, row.BytesOut.Mean,
				quantiles(row.Worst6s), row.CPUPercent, row.HeapBytes/bytesPerMB, row.RSSBytes.Max/bytesPerMB, quantiles(row.ListInForce),
				row.ListHeard.P50, row.ListHeard.P99, quantiles(row.ConfInForce), row.Unheard)
		}
	})
}

// quantiles is a distribution as median/99th/largest.
func quantiles(d result.Distribution) string {
	if d.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g/%.4g/%.4g", d.P50, d.P99, d.Max)
}

func writeControl(out io.Writer, machines []result.ControlMachine) {
	fmt.Fprintln(out, "\ncontrol machines:")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "role\tname\tcalls\twhole lists\trefused\tin kB\tout kB\tcpu %\tbusy\tworst 6 s\tqueue ms p50/p99/max\tqueue max\trss MB")
		for _, m := range machines {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.3f\t%.3f\t%s\t%d\t%.1f\n", m.Role, m.Name, m.Calls, m.WholeLists, m.Refused,
				float64(m.BytesIn)/bytesPerKB, float64(m.BytesOut)/bytesPerKB, m.CPUPercent, m.Busy, m.Worst6s, quantiles(m.QueueMS), m.QueueMax, m.RSSBytes/bytesPerMB)
		}
	})
}

func writeDepths(out io.Writer, depths []result.Depth) {
	if len(depths) == 0 {
		return
	}
	fmt.Fprintln(out, "\ncalls by depth:")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "depth\tcalls\tattempts\tok\tfailed\trefused\tserved %\tattempts/root\twhile failing\ttimes")
		for _, d := range depths {
			fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%.3f\t%.2f\n", d.Depth, d.Calls, d.Attempts, d.OK, d.Failed, d.Refused,
				d.ServedMeanPercent, d.PerRoot, d.FailPerRoot, d.Amplification)
		}
	})
}

func writeEvents(out io.Writer, events []result.EventResult) {
	if len(events) == 0 {
		return
	}
	fmt.Fprintln(out, "\nevents:")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "kind\tat s\tfor s\taffects\tcontrol kB\tin force ms p50/p99/max\tunheard\tserved %\tbefore %\tback after s\twhole lists\trefused")
		for _, e := range events {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%d\t%.1f\t%s\t%d\t%.2f\t%.2f\t%.1f\t%d\t%d\n", e.Kind, e.AtSeconds, e.LengthSeconds, e.Affects, float64(e.Bytes)/bytesPerKB,
				quantiles(e.InForceMS), e.Undelivered, e.ServedPercent, e.ServedBeforePercent, e.RecoveredAfterSeconds, e.FullLists, e.Refused)
		}
	})
}

func writeAdded(out io.Writer, a result.Added) {
	if a.CallsEach == 0 {
		return
	}
	fmt.Fprintf(out, "\nadded by a real agent, %d calls each way in turn before the first event: through %s ms, direct %s ms (p50/p99/max); median of the differences %.3f ms, 99th %.3f ms, failed %d\n",
		a.CallsEach, quantiles(a.Through), quantiles(a.Direct), a.MedianMS, a.P99MS, a.Failed)
}

func writeRatios(out io.Writer, all []result.Ratio) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintln(out, "\nhollow agents against real ones:")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "figure\thollow\treal\tratio\tfactor\t\twhy that factor")
		for i, x := range all {
			fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.2f\t%.3g\t%s\t%s\n", x.Name, x.Simulated, x.Real, x.Ratio, x.Factor, verdict(x.OK), ratioReason(all, i))
		}
	})
}

// ratioReason says why a ratio has its factor, from the table of them.
func ratioReason(all []result.Ratio, i int) string {
	for _, h := range ratioRules {
		if h.name == all[i].Name {
			return h.why
		}
	}
	return ""
}
