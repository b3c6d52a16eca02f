package dispatch

import (
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
)

// translate finds the class of a request by name in the new settings, and fails if the class no longer exists or has
// another idempotency.
func TestTranslateToNewSettings(t *testing.T) {
	old := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings).Settings
	next := agenttest.Config(t, "127.0.0.1:1", strings.NewReplacer(
		`"name":"celled"`, `"name":"other"`, `"effect":"pure"`, `"effect":"side_effect"`,
		`{"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},`, "").Replace(agenttest.Settings)).Settings
	for class, want := range []int{-1, -1, 1, -1} { // keyed and celled are removed, safe has another effect
		c := &Request{Settings: &old, Class: class}
		if ok := c.translate(&next); ok != (want >= 0) || ok && c.Class != want {
			t.Errorf("%s: got %v and class %d, want class %d", old.ClassNames[class], ok, c.Class, want)
		}
	}
}

// blockedWriter reports that a write has begun, and blocks until it is released.
type blockedWriter struct{ writing, release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.writing <- struct{}{}:
	default:
	}
	<-w.release
	return len(p), nil
}

// New settings become visible only after the metrics know their classes, because a handler may reject and count a
// request of a new class immediately.
func TestClassesAreAddedBeforeSettingsAreVisible(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	next := agenttest.Config(t, "127.0.0.1:1", strings.ReplaceAll(agenttest.Settings, `"safe"`, `"new"`))
	writer := blockedWriter{writing: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = l.metrics.WriteText(writer) }() // locks the metrics, so that adopt blocks where it adds the classes
	agenttest.Receive(t, "write", writer.writing)
	adopted := make(chan error, 1)
	go func() { adopted <- l.adopt(t.Context(), &next.Settings) }()
	for start := time.Now(); time.Since(start) < 200*time.Millisecond; time.Sleep(time.Millisecond) {
		if l.Settings() != &cfg.Settings {
			t.Error("the settings are visible before the metrics have their classes")
			break
		}
	}
	close(writer.release)
	if err := agenttest.Receive(t, "result", adopted); err != nil || l.Settings() != &next.Settings {
		t.Errorf("got error %v, want the new settings in force", err)
	}
}
