package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

const knownText = `{"revision":7,"complete":true,"members":[{"id":"x","host_port":"10.0.0.9:80","phase":"Ready"}]}`

// fullText has every key of the configuration, each with a different value.
const fullText = `{"name":"n1","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","console":"127.0.0.1:82","seed":"1f",
 "relays":["10.0.0.1:80","10.0.0.2:80"],
 "limits":{"cores":0.5,"memory_mb":192.7,"sockets":1024},"known":` + knownText + `,"settings":` + settingsText + `}`

// fullConfig returns the configuration in fullText.
func fullConfig(t *testing.T) *Config {
	t.Helper()
	known, err := discovery.Parse([]byte(knownText))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := settings.Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	return &Config{
		Name: "n1", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:81", AdminAddr: "127.0.0.1:82", Seed: 0x1f,
		Relays: []string{"10.0.0.1:80", "10.0.0.2:80"},
		Cores:  0.5, MemoryMB: 192, Sockets: 1024,
		Settings: parsed, CachedEndpoints: known,
	}
}

// equalConfig reports whether two configurations are equal, ignoring got.contents.
func equalConfig(got, want *Config) bool {
	if got == nil {
		return false
	}
	plain := *got
	plain.contents = nil
	return reflect.DeepEqual(&plain, want)
}

// Every key sets its field.
func TestParseSetsEveryField(t *testing.T) {
	want := fullConfig(t)
	for v, i := reflect.ValueOf(*want), 0; i < v.NumField(); i++ {
		if name := v.Type().Field(i).Name; v.Field(i).IsZero() && name != "contents" {
			t.Errorf("%s is not tested: its wanted value is zero", name)
		}
	}
	if got, err := Parse([]byte(fullText)); err != nil || !equalConfig(got, want) {
		t.Errorf("error %v\ngot  %+v\nwant %+v", err, got, want)
	}
}

// Optional keys match regardless of case, the last of two equal keys wins, and unknown keys are ignored. Required keys
// match only in their exact case.
func TestKeyMatching(t *testing.T) {
	for name, text := range map[string]string{
		"case":    strings.NewReplacer(`"console"`, `"Console"`, `"relays"`, `"RELAYS"`, `"known"`, `"Known"`).Replace(fullText),
		"twice":   strings.Replace(fullText, `"cores":0.5`, `"cores":9,"Cores":0.5`, 1),
		"unknown": strings.Replace(fullText, `"seed"`, `"colour":"red","seed"`, 1),
	} {
		if got, err := Parse([]byte(text)); err != nil || !equalConfig(got, fullConfig(t)) {
			t.Errorf("%s: error %v\ngot  %+v\nwant %+v", name, err, got, fullConfig(t))
		}
	}
	for old, want := range map[string]string{
		`"name"`: "name: missing", `"listen"`: "listen: missing", `"seed"`: "seed: missing", `"cores"`: "limits.cores: missing",
		`"memory_mb"`: "limits.memory_mb: missing", `"sockets"`: "limits.sockets: missing", `"settings"`: "settings: missing",
		`"replicasOfMe"`: "settings.replicasOfMe: missing", `"coldFrom"`: "settings.rules.coldFrom: missing",
	} {
		text := strings.Replace(fullText, old, strings.ToUpper(old), 1)
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", strings.ToUpper(old), err, want)
		}
	}
}

// Each error names the field and what is wrong with it.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"127.0.0.1:80"`, `"here"`, `listen: not an ip:port`},
		{`"127.0.0.1:81"`, `"here"`, `discovery: not an ip:port`},
		{`"127.0.0.1:82"`, `"here"`, `console: not an ip:port`},
		{`"10.0.0.2:80"`, `"here"`, `relays[1]: not an ip:port`},
		{`"10.0.0.2:80"`, `"10.0.0.1:80"`, `relays[1]: duplicate address 10.0.0.1:80`},
		{`"1f"`, `"xyz"`, `seed: strconv.ParseUint: parsing "xyz": invalid syntax`},
		{`"cores":0.5`, `"cores":1025`, `limits.cores cannot be 1025`},
		{`192.7`, `15.9`, `limits.memory_mb cannot be 15.9`},
		{`1024`, `95`, `limits.sockets cannot be 95: at least 96 are needed`},
		{`"connectTimeout":2000`, `"connectTimeout":0`, `settings: limits.connectTimeout must be above 0`},
		{`"idleClose":30000`, `"idleClose":-1`, `settings: limits.idleClose must not be below 0`},
		{`"name":"celled"`, `"name":"keyed"`, `settings: categories[1].name "keyed" is empty or a duplicate`},
		{`"name":"acme"`, `"name":""`, `settings: accounts[0].name "" is empty or a duplicate`},
		{`"off"`, `"odd"`, `settings: report.how "odd" is unknown`},
	} {
		text := strings.Replace(fullText, c.old, c.new, 1)
		if text == fullText {
			t.Fatalf("%s: nothing replaced", c.old)
		}
		_, err := Parse([]byte(text))
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: got error %v, want %s", c.new, err, c.want)
		}
		var field *settings.FieldError
		if !errors.As(err, &field) || !strings.HasPrefix(strings.TrimPrefix(c.want, "settings: "), field.Field) {
			t.Errorf("%s: got %v, want a *settings.FieldError for the field", c.new, err)
		}
	}
}
