package agent

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

const (
	// reportEvery is how often the counters are logged: often enough to place a bad spell, too seldom to drown it.
	reportEvery = 5 * time.Second
	// gaugeEvery is how often the loop publishes what it knows of the servers.
	gaugeEvery = 100 * time.Millisecond
)

// figures tell the operators what the agent did, on the console and in the log. They decide nothing.
type figures struct {
	mu sync.Mutex
	tally
	totals
	logged  totals // when the last line was written
	classes map[string]*[results]int

	active             atomic.Int64 // requests taken and not ended
	listed, avoidedNow atomic.Int64 // servers; the loop publishes them
}

// ending is how a request ended for its client.
type ending int

const (
	resultOK ending = iota
	resultShed
	resultErrors
	results
)

var resultNames = [results]string{"ok", "shed", "errors"}

func resultOf(status int) ending {
	switch status {
	case http.StatusOK:
		return resultOK
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resultShed
	}
	return resultErrors
}

// totals count since the agent's start and never fall.
type totals struct {
	responses         [results]int
	tries             int // attempts written whole
	applied, rejected int // configurations
}

// tally counts since the log's last line.
type tally struct {
	taken, gone          int                                          // requests
	turnedAway           int                                          // of the refused: the agent held too many
	attempts             [int(balancer.OutcomeServerDraining) + 1]int // by outcome
	dialed, reused       int                                          // connections that attempts and probes used
	brokenReused         int                                          // of the reused: no whole answer came
	probes, probesFailed int                                          //
	reports              int                                          // answers that told a load
	lastBreak            string                                       // why the last answer did not come whole
	badRequests          int                                          // turned down before they were taken
	lastBad              string                                       // why the last of them was
	halfHeads            int                                          // connections that ended within a request's head
	listCalls, listFails int                                          // calls of discovery
	slowestList          time.Duration                                // longest that a call took beyond what it may wait
	slowestLoop          time.Duration                                // longest that one input kept the loop
}

// count changes the tally.
func (f *figures) count(change func(*tally)) {
	f.mu.Lock()
	change(&f.tally)
	f.mu.Unlock()
}

// called counts a call of discovery.
func (f *figures) called(c discovery.PollResult) {
	f.count(func(t *tally) {
		if t.listCalls++; c.Err != nil {
			t.listFails++
		}
		t.slowestList = max(t.slowestList, c.Duration-c.Wait)
	})
}

// total changes the totals.
func (f *figures) total(change func(*totals)) {
	f.mu.Lock()
	change(&f.totals)
	f.mu.Unlock()
}

// know has the classes shown from now on; those known stay, or their figures would fall.
func (f *figures) know(classes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes == nil {
		f.classes = map[string]*[results]int{}
	}
	for _, name := range classes {
		if f.classes[name] == nil {
			f.classes[name] = new([results]int)
		}
	}
}

// answered counts a request of a class by the answer that its client gets.
func (f *figures) answered(class string, r ending) {
	f.mu.Lock()
	f.responses[r]++
	f.classes[class][r]++
	f.mu.Unlock()
}

// write writes the figures in the text form that collectors read.
func (f *figures) write(w io.Writer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, class := range slices.Sorted(maps.Keys(f.classes)) {
		for r, n := range f.classes[class] {
			fmt.Fprintf(w, "gw_responses_total{kind=%q,result=%q} %d\n", class, resultNames[r], n)
		}
	}
	fmt.Fprintf(w, "gw_tries_total %d\ngw_active %d\ngw_pool_size %d\ngw_pool_ejected %d\n",
		f.tries, f.active.Load(), f.listed.Load(), f.avoidedNow.Load())
	fmt.Fprintf(w, "gw_config_applied_total %d\ngw_config_rejected_total %d\n", f.applied, f.rejected)
}

// report logs what was counted since the last report, if anything was.
func (f *figures) report(log *slog.Logger, ready, draining int) {
	f.mu.Lock()
	t, now, last := f.tally, f.totals, f.logged
	f.tally, f.logged = tally{}, now
	f.mu.Unlock()
	if t == (tally{}) && now == last {
		return
	}
	answers := func(r ending) int { return now.responses[r] - last.responses[r] }
	log.Info("counters", "taken", t.taken, "served", answers(resultOK), "refused", answers(resultShed), "turned_away", t.turnedAway,
		"failed", answers(resultErrors), "gone", t.gone, "tries", now.tries-last.tries, "slowest_loop", t.slowestLoop,
		slog.Group("servers", "ready", ready, "draining", draining))
	if t.listCalls > 0 {
		log.Info("discovery calls", "calls", t.listCalls, "failed", t.listFails, "slowest", t.slowestList)
	}
	t.reportAttempts(log)
}

// reportAttempts logs what became of attempts, connections and probes. Each line is short: what collects the log may cut
// lines at 400 bytes, and did so before the calls of discovery when all counters stood in one.
func (t *tally) reportAttempts(log *slog.Logger) {
	of := func(o balancer.Outcome) int { return t.attempts[o] }
	log.Info("attempts", "ok", of(balancer.OutcomeOK), "error", of(balancer.OutcomeError), "full", of(balancer.OutcomeRejected),
		"timeout", of(balancer.OutcomeTimeout), "connect", of(balancer.OutcomeConnectFailed), "reset", of(balancer.OutcomeReset),
		"cancelled", of(balancer.OutcomeCancelled), "moot", of(balancer.OutcomeExpired), "leaving", of(balancer.OutcomeServerDraining),
		slog.Group("connections", "dialed", t.dialed, "reused", t.reused, "broken_reused", t.brokenReused),
		slog.Group("probes", "sent", t.probes, "failed", t.probesFailed), "reports", t.reports)
	if t.lastBreak != "" {
		log.Info("last broken answer", "error", t.lastBreak)
	}
	if t.badRequests > 0 || t.halfHeads > 0 {
		log.Info("bad requests", "requests", t.badRequests, "last", t.lastBad, "half_heads", t.halfHeads)
	}
}

// broke notes that an answer did not come whole, and why.
func (t *tally) broke(reused bool, why error) {
	if reused {
		t.brokenReused++
	}
	t.lastBreak = why.Error()
}

// ended notes how an attempt or a probe ended.
func (t *tally) ended(ev *balancer.Event) {
	if ev.Load.Known {
		t.reports++
	}
	if ev.Kind == balancer.EventOutcome {
		t.attempts[ev.Outcome]++
		return
	}
	if t.probes++; ev.Outcome != balancer.OutcomeOK {
		t.probesFailed++
	}
}
