package dispatch

import (
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
)

// A request that was read by the old settings is looked up by name in the new ones.
func TestTranslateToNewSettings(t *testing.T) {
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

// blockedWriter says that it is written to, and blocks until it is released.
type blockedWriter struct{ writing, release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.writing <- struct{}{}:
	default:
	}
	<-w.release
	return len(p), nil
}

// Settings are visible only once the metrics know their classes: a handler that rejects a request of a new class counts
// it at once.
func TestClassesAreAddedBeforeSettingsAreVisible(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	next := agenttest.Config(t, "127.0.0.1:1", strings.ReplaceAll(agenttest.Settings, `"safe"`, `"new"`))
	writer := blockedWriter{writing: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = l.metrics.WriteText(writer) }() // holds the metrics, so that adopt waits where it adds the classes
	agenttest.Receive(t, "write", writer.writing)
	adopted := make(chan error, 1)
	go func() { adopted <- l.adopt(t.Context(), &next.Settings) }()
	for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; time.Sleep(time.Millisecond) {
		if l.Settings() != &cfg.Settings {
			t.Error("the settings are visible before their classes are known")
			break
		}
	}
	close(writer.release)
	if err := agenttest.Receive(t, "result", adopted); err != nil || l.Settings() != &next.Settings {
		t.Errorf("error %v", err)
	}
}
