package dispatch

import (
	"strings"
	"testing"

	"example.org/ryeloft/internal/agenttest"
)

// A request that was read by the old settings is looked up by name in the new ones.
func TestTranslate(t *testing.T) {
	old := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings).Settings
	next := agenttest.Config(t, "127.0.0.1:1", strings.NewReplacer(
		`"name":"celled"`, `"name":"other"`, `"effect":"pure"`, `"effect":"side_effect"`,
		`{"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},`, "").Replace(agenttest.Settings)).Settings
	for class, want := range []int{-1, -1, 1, -1} { // keyed and celled have gone, safe has another effect
		c := &Request{Settings: &old, Class: class}
		if ok := c.translate(&next); ok != (want >= 0) || ok && c.Class != want {
			t.Errorf("%s: %v as %d, want %d", old.ClassNames[class], ok, c.Class, want)
		}
	}
}
