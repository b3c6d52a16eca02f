package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const configText = `{"name":"r1","listen":"127.0.0.1:9001","discovery":"127.0.0.1:1","figures":"127.0.0.1:9002","state":"/var/lib/relay",
 "limits":{"lists_per_second":60,"callers":1000,"memory_mb":64}}`

// An invalid configuration must be rejected with an error that names the invalid field.
func TestBadConfig(t *testing.T) {
	c, err := ParseConfig([]byte(configText))
	want := Config{"r1", "127.0.0.1:9001", "127.0.0.1:1", "127.0.0.1:9002", "/var/lib/relay", Limits{60, 1000, 64}}
	if err != nil || *c != want {
		t.Fatalf("got %+v, error %v, want %+v", c, err, want)
	}
	for _, c := range []struct{ field, old, new string }{
		{"name", `"r1"`, `""`},
		{"listen", `"127.0.0.1:9001"`, `"here"`},
		{"listen", `"listen":"127.0.0.1:9001",`, ``},
		{"discovery", `"127.0.0.1:1"`, `"127.0.0.1"`},
		{"figures", `"127.0.0.1:9002"`, `":9002"`},
		{"state", `"/var/lib/relay"`, `""`},
		{"limits.lists_per_second", `60`, `0`},
		{"limits.lists_per_second", `60`, `1e9`},
		{"limits.lists_per_second", `"lists_per_second":60,`, ``},
		{"limits.callers", `1000`, `-1`},
		{"limits.callers", `"callers":1000,`, ``},
		{"limits.memory_mb", `64`, `15`},
		{"limits.memory_mb", `:64`, `:"64"`},
		{"caller", `"callers"`, `"caller"`},
		{"other", `"name"`, `"other":1,"name"`},
		{"more than one", configText, configText + configText},
		{"EOF", configText, configText[:len(configText)/2]},
		{"EOF", configText, ""},
		{"over", configText, strings.Repeat(" ", maxConfigBytes) + configText},
	} {
		text := strings.Replace(configText, c.old, c.new, 1)
		if text == configText {
			t.Fatalf("%s: nothing replaced", c.field)
		}
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %q", err, c.field)
		}
		path := filepath.Join(t.TempDir(), "relay.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: got error %v, want one with the path %s", c.field, err, path)
		}
	}
}

// A reload may change the address of discovery and the rate of full lists. Any other change must be rejected with an
// error that names the field.
func TestCheckReload(t *testing.T) {
	current, err := ParseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"", `127.0.0.1:1"`, `127.0.0.1:2"`},
		{"", `:60`, `:0.5`},
		{"name", `"r1"`, `"r2"`},
		{"listen", `:9001`, `:9003`},
		{"figures", `"figures":"127.0.0.1:9002",`, ``},
		{"state", `/var/lib/relay`, `/var/lib/other`},
		{"limits", `1000`, `1001`},
		{"limits", `64`, `65`},
	} {
		next, err := ParseConfig([]byte(strings.Replace(configText, c.old, c.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		err = next.CheckReload(current)
		if (err == nil) != (c.field == "") || err != nil && !strings.HasPrefix(err.Error(), c.field+":") {
			t.Errorf("%s instead of %s: got error %v, want one for field %q, or none if that is empty", c.new, c.old, err, c.field)
		}
	}
}
