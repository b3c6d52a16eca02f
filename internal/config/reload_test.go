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

// Each signal has the file read and its result handed on; one that is rejected leaves what the next has to follow. The watch
// ends with its context, also while nobody takes its result.
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
			{text: configText, missing: "relays"}, // once more: what was rejected is not followed
			{text: relays, relays: 1},
		} {
			write(c.text)
			signals <- syscall.SIGHUP
			r := <-results
			var field *settings.FieldError
			switch {
			case c.missing != "" && (r.Config != nil || !errors.Is(r.Err, ErrMissing) || !errors.As(r.Err, &field) || field.Field != c.missing):
				t.Errorf("signal %d: %+v, want an error that %s is missing", i, r, c.missing)
			case c.missing == "" && (r.Err != nil || len(r.Config.Relays) != c.relays):
				t.Errorf("signal %d: %+v, want %d relays", i, r, c.relays)
			}
		}
		signals <- syscall.SIGHUP
		synctest.Wait() // it holds a result that nobody takes
		stop()
		<-ended
	})
}
