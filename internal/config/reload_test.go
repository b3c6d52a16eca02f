package config

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"example.org/ryeloft/internal/settings"
)

// Watch reads the file on each signal and sends the result. A rejected file does not change the configuration that the
// next one is checked against. Watch returns when its context is done, even while it is blocked on sending a result.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		write := func(text string) {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		relays := strings.Replace(configText, `"seed"`, `"relays":["10.0.0.1:80"],"seed"`, 1)
		write(configText)
		current, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		signals := make(chan os.Signal, 1)
		results := make(chan ReloadResult)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			Watch(ctx, path, current, signals, results)
		}()
		for i, c := range []struct {
			text, missing string
			relays        int
		}{
			{text: relays, relays: 1},
			{text: configText, missing: "relays"},
			{text: configText, missing: "relays"}, // the rejected file has not become the reference
			{text: relays, relays: 1},
		} {
			write(c.text)
			signals <- syscall.SIGHUP
			r := <-results
			var field *settings.FieldError
			switch {
			case c.missing != "" && (r.Config != nil || !errors.Is(r.Err, ErrMissing) || !errors.As(r.Err, &field) || field.Field != c.missing):
				t.Errorf("signal %d: got %+v, want an error that %s is missing", i, r, c.missing)
			case c.missing == "" && (r.Err != nil || len(r.Config.Relays) != c.relays):
				t.Errorf("signal %d: got %+v, want %d relays", i, r, c.relays)
			}
		}
		signals <- syscall.SIGHUP
		synctest.Wait() // Watch is blocked on sending the result
		stop()
		<-ended
	})
}
