package run

import (
	"fmt"
	"io"
	"strings"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/textwriter"
)

// Violations returns the names of everything that keeps a run from being OK: budgets that are exceeded or were not
// measured, ratios outside their factor, late notifications by control's own clock, real agents that were not up after
// a restart, an incomplete run.
func Violations(r *result.Run) []string {
	var names []string
	for _, b := range r.Budgets {
		if !b.OK {
			names = append(names, b.Name)
		}
	}
	for _, ratio := range r.Ratios {
		if !ratio.OK {
			names = append(names, "ratio:"+ratio.Name)
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

// WriteText writes a run as text: sizes, tables, a line for each budget as `name measured budget ok|OVER`, and a last
// line with the verdict.
func WriteText(w io.Writer, r *result.Run) error {
	out := textwriter.New(w)
	s := r.Sizes
	out.Printf("%s: %d servers of %d services, %d agents (%d real), depth %d, %.0f calls/s, %.3g configurations/min, %.0f s, seed %d; took %.1f s\n",
		r.Scenario, s.Servers, s.Services, s.Agents, s.Real, s.Depth, s.CallsPerSecond, s.ChangesPerMinute, s.Seconds, s.Seed, r.WallSeconds)
	if r.Incomplete != "" {
		out.Printf("incomplete: %s\n", r.Incomplete)
	}
	writeAgents(out, r)
	writeControl(out, r.Control)
	writeDepths(out, r.Depths)
	if len(r.Depths) > 0 && !r.ModelKeptTime {
		out.Printf("the machine was too busy for the modelled calls: they were handled late by %s ms (p50/p99/max), and what is said of calls does not hold\n",
			quantiles(r.ModelLagMS))
	}
	writeEvents(out, r.Events)
	writeAdded(out, r.Added)
	writeRatios(out, r.Ratios)
	writeBudgets(out, r)
	writeVerdict(out, r)
	return out.Flush()
}

func verdict(ok bool) string {
	if ok {
		return "ok"
	}
	return "OVER"
}

func writeAgents(out *textwriter.Writer, r *result.Run) {
	out.Println("\nagents, for control alone:")
	out.Table(func(t *textwriter.Writer) {
		t.Println("sort\tagents\tin B/s\tout B/s\tworst 6 s B/s p50/p99/max\tcpu %\theap MB\trss MB max\tlist in force ms p50/p99/max\theard ms p50/p99\tconfig in force ms p50/p99/max\tunheard")
		for _, row := range []struct {
			name string
			result.AgentControl
		}{{role.SimulatedAgents, r.Simulated}, {"real", r.Real}} {
			t.Printf("%s\t%d\t%.0f\t%.0f\t%s\t%.3f\t%.2f\t%.1f\t%s\t%.1f/%.1f\t%s\t%d\n", row.name, row.Agents, row.BytesIn.Mean, row.BytesOut.Mean,
				quantiles(row.Worst6s), row.CPUPercent, row.HeapBytes/bytesPerMB, row.RSSBytes.Max/bytesPerMB, quantiles(row.ListInForce),
				row.ListAcknowledged.P50, row.ListAcknowledged.P99, quantiles(row.ConfigInForce), row.Undelivered)
		}
	})
}

// quantiles formats a distribution as p50/p99/max.
func quantiles(d result.Distribution) string {
	if d.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g/%.4g/%.4g", d.P50, d.P99, d.Max)
}

func writeControl(out *textwriter.Writer, machines []result.ControlMachine) {
	out.Println("\ncontrol machines:")
	out.Table(func(t *textwriter.Writer) {
		t.Println("role\tname\tcalls\twhole lists\trefused\tin kB\tout kB\tcpu %\tbusy\tworst 6 s\tqueue ms p50/p99/max\tqueue max\trss MB")
		for _, m := range machines {
			t.Printf("%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.3f\t%.3f\t%s\t%d\t%.1f\n", m.Role, m.Name, m.Calls, m.FullLists, m.Rejected,
				float64(m.BytesIn)/bytesPerKB, float64(m.BytesOut)/bytesPerKB, m.CPUPercent, m.Busy, m.Worst6s, quantiles(m.QueueMS), m.QueueMax,
				m.RSSBytes/bytesPerMB)
		}
	})
}

func writeDepths(out *textwriter.Writer, depths []result.Depth) {
	if len(depths) == 0 {
		return
	}
	out.Println("\ncalls by depth:")
	out.Table(func(t *textwriter.Writer) {
		t.Println("depth\tcalls\tattempts\tok\tfailed\trefused\tserved %\tattempts/root\twhile failing\ttimes")
		for _, d := range depths {
			t.Printf("%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%.3f\t%.2f\n", d.Depth, d.Calls, d.Attempts, d.OK, d.Failed, d.Rejected,
				d.ServedMeanPercent, d.PerRoot, d.FailPerRoot, d.Amplification)
		}
	})
}

func writeEvents(out *textwriter.Writer, events []result.EventResult) {
	if len(events) == 0 {
		return
	}
	out.Println("\nevents:")
	out.Table(func(t *textwriter.Writer) {
		t.Println("kind\tat s\tfor s\taffects\tcontrol kB\tin force ms p50/p99/max\tunheard\tserved %\tbefore %\tback after s\twhole lists\trefused")
		for _, e := range events {
			t.Printf("%s\t%.1f\t%.1f\t%d\t%.1f\t%s\t%d\t%.2f\t%.2f\t%.1f\t%d\t%d\n", e.Kind, e.AtSeconds, e.LengthSeconds, e.Affects,
				float64(e.Bytes)/bytesPerKB, quantiles(e.InForceMS), e.Undelivered, e.ServedPercent, e.ServedBeforePercent,
				e.RecoveredAfterSeconds, e.FullLists, e.Rejected)
		}
	})
}

func writeAdded(out *textwriter.Writer, a result.Added) {
	if a.CallsEach == 0 {
		return
	}
	out.Printf("\nadded by a real agent, %d calls each way in turn before the first event: through %s ms, direct %s ms (p50/p99/max); median of the differences %.3f ms, 99th %.3f ms, failed %d\n",
		a.CallsEach, quantiles(a.Through), quantiles(a.Direct), a.MedianMS, a.P99MS, a.Failed)
}

func writeRatios(out *textwriter.Writer, ratios []result.Ratio) {
	if len(ratios) == 0 {
		return
	}
	out.Println("\nhollow agents against real ones:")
	out.Table(func(t *textwriter.Writer) {
		t.Println("figure\thollow\treal\tratio\tfactor\t\twhy that factor")
		for _, r := range ratios {
			t.Printf("%s\t%.4g\t%.4g\t%.2f\t%.3g\t%s\t%s\n", r.Name, r.Simulated, r.Real, r.Ratio, r.Factor, verdict(r.OK), ratioReason(r.Name))
		}
	})
}

func writeBudgets(out *textwriter.Writer, r *result.Run) {
	out.Println("\nbudgets (name measured budget):")
	out.Table(func(t *textwriter.Writer) {
		for _, b := range r.Budgets {
			t.Printf("%s\t%.4g\t%.4g\t%s\n", b.Name, b.Measured, b.Limit, verdict(b.OK))
		}
	})
	if r.LateNotifications > 0 {
		out.Printf("late_told %d 0 OVER\n", r.LateNotifications)
	}
	if r.RestartsNotUp > 0 {
		out.Printf("not_up %d 0 OVER\n", r.RestartsNotUp)
	}
}

// writeVerdict writes the last line, which reports whether the run is OK.
func writeVerdict(out *textwriter.Writer, r *result.Run) {
	names := Violations(r)
	if len(names) == 0 {
		out.Println("scale: ok")
		return
	}
	out.Printf("scale: OVER %s\n", strings.Join(names, ","))
}
