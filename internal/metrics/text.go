package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteText writes all metrics in the text format that metrics collectors read. It returns the first write error.
func (m *Metrics) WriteText(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, class := range slices.Sorted(maps.Keys(m.classes)) {
		for result, n := range m.classes[class] {
			if _, err := fmt.Fprintf(w, "gw_responses_total{kind=%q,result=%q} %d\n", class, resultNames[result], n); err != nil {
				return err
			}
		}
	}
	if _, err := fmt.Fprintf(w, "gw_tries_total %d\ngw_active %d\ngw_buffered_bytes %d\ngw_pool_size %d\ngw_pool_ejected %d\n",
		m.counters.attempts, m.active.Load(), m.bufferedBytes.Load(), m.endpoints.Load(), m.ejectedEndpoints.Load()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "gw_config_applied_total %d\ngw_config_rejected_total %d\n", m.counters.configsApplied, m.counters.configsRejected)
	return err
}
