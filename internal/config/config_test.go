package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const configText = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},"settings":` + settingsText + `}`

const settingsText = `{
 "categories":[
  {"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},
  {"name":"celled","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"cell","repeatWindow":30000},
  {"name":"unsafe","aim":20000,"deadline":30000,"credit":1,"effect":"side_effect"},
  {"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "accounts":[{"name":"acme","portion":1}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":1,"rank":0,"discovery":"automatic","tick":5,
 "report":{"fields":["outstanding","recent_ms"],"how":"off"},
 "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"connectTimeout":2000,"idleClose":30000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"extraFloor":100,"extraWindow":1000}}`

func TestParseRejectsBadValues(t *testing.T) {
	if _, err := Parse([]byte(configText)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"listen", `"127.0.0.1:0"`, `"here"`},
		{"discovery", `"127.0.0.1:1"`, `""`},
		{"seed", `"1f"`, `"xyz"`},
		{"limits.cores", `"cores":1`, `"cores":0`},
		{"limits.memory_mb", `:192`, `:1`},
		{"limits.sockets", `:1024`, `:10`},
		{"known", `"revision":1,`, ``},
		{"limits.connectTimeout", `"connectTimeout":2000`, `"connectTimeout":0`},
		{"limits.idleClose", `"idleClose":30000`, `"idleClose":-1`},
		{"MaxAttempts", `"maxAttempts":3`, `"maxAttempts":0`},
		{"categories[1].name", `"name":"celled"`, `"name":"keyed"`},
		{"report.how", `"off"`, `"odd"`},
		{"settings.categories[2].credit", `"credit":1,"effect":"side_effect"`, `"effect":"side_effect"`},
		{"settings.limits.maxAttempts", `"maxAttempts":3,`, ``},
		{"settings", `"settings"`, `"sets"`},
		{"console", `"seed"`, `"console":"here","seed"`},
		{"relays", `"seed"`, `"relays":"10.0.0.1:80","seed"`},
		{"relays", `"seed"`, `"relays":[1],"seed"`},
		{"relays[1]", `"seed"`, `"relays":["10.0.0.1:80","there:80"],"seed"`},
		{"relays[0]", `"seed"`, `"relays":[""],"seed"`},
		{"relays[1]", `"seed"`, `"relays":["10.0.0.1:80","10.0.0.1:80"],"seed"`},
		{"relays[0]", `"seed"`, `"relays":["127.0.0.1:1"],"seed"`},
		{"relays: 1025", `"seed"`, `"relays":` + relaysText(1025) + `,"seed"`},
	} {
		text := strings.Replace(configText, c.old, c.new, 1)
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that names the field", c.field, err)
		}
	}
}

// relaysText returns a JSON list of n relays.
func relaysText(n int) string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf(`"10.0.%d.%d:80"`, i/250, i%250)
	}
	return "[" + strings.Join(all, ",") + "]"
}

// The relays key is optional. A reload removes the current relays only with an empty list; a text without the key is
// rejected.
func TestRelays(t *testing.T) {
	with := func(relays string) string { return strings.Replace(configText, `"seed"`, relays+`"seed"`, 1) }
	for _, c := range []struct {
		text string
		want []string
	}{
		{configText, nil},
		{with(`"relays":[],`), nil},
		{with(`"relays":["10.0.0.1:80","[::1]:81"],`), []string{"10.0.0.1:80", "[::1]:81"}},
	} {
		cfg, err := Parse([]byte(c.text))
		if err != nil || !slices.Equal(cfg.Relays, c.want) {
			t.Errorf("got %v, error %v, want relays %v", cfg, err, c.want)
		}
	}
	if cfg, err := Parse([]byte(with(`"relays":` + relaysText(1024) + `,`))); err != nil || len(cfg.Relays) != 1024 {
		t.Errorf("1,024 relays: got error %v, want none", err)
	}
	current, err := Parse([]byte(with(`"relays":["10.0.0.1:80"],`)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseReload([]byte(configText), current); err == nil || err.Error() != "relays: missing" {
		t.Errorf("reload without relays: got error %v, want relays: missing", err)
	}
	if next, err := ParseReload([]byte(with(`"relays":[],`)), current); err != nil || len(next.Relays) > 0 {
		t.Errorf("reload with an empty list: got %v, error %v, want no relays", next, err)
	}
}

// A reload rejects a file that lacks a key of the current one or has an invalid value, and names the field.
func TestReloadRejectsBadFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(configText)
	current, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if r := Reload(path, current); r.Err != nil {
		t.Fatalf("the same file: %v", r.Err)
	}
	write(strings.Replace(configText, `{"name":"unsafe"`, `{"name":"new","aim":1,"deadline":2,"credit":1,"effect":"pure"},{"name":"unsafe"`, 1))
	if r := Reload(path, current); r.Err != nil {
		t.Fatalf("an additional class: %v", r.Err)
	}
	write(strings.Replace(configText, `"effect":"token","dedupScope":"cell","repeatWindow":30000`, `"effect":"side_effect"`, 1))
	if r := Reload(path, current); r.Err != nil {
		t.Fatalf("a stricter effect, without the keys of the other one: %v", r.Err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"", configText, ""},
		{"", configText, "null"},
		{"", configText, configText[:len(configText)/2]},
		{"settings", `"settings":` + settingsText, `"x":1`},
		{"discovery", `"discovery":"127.0.0.1:1",`, ``},
		{"settings.rules.warmAfter", `"warmAfter":1000,`, ``},
		{"settings.rules", `"rules":{`, `"x":{`},
		{"rules", `"rules":{`, `"rules":7,"x":{`},
		{"MaxAttempts", `"maxAttempts":3`, `"maxAttempts":-1`},
		{"maxAttempts", `"maxAttempts":3`, `"maxAttempts":"3"`},
		{"maxAttempts", `"maxAttempts":3,`, ``},
		{"Classes[3].Deadline", `"deadline":30000,"credit":1,"effect":"pure"`, `"deadline":0,"credit":1,"effect":"pure"`},
		{"settings.categories[2].credit", `"credit":1,"effect":"side_effect"`, `"effect":"side_effect"`},
		{"deadline", `"deadline":30000,"credit":1,"effect":"side_effect"`, `"deadline":"x","credit":1,"effect":"side_effect"`},
		{"categories[1].name", `"name":"celled"`, `"name":"keyed"`},
		{"categories[1].name", `"name":"celled",`, ``},
		{"categories[0].dedupScope", `"dedupScope":"all",`, ``},
		{"categories[1].dedupScope", `"dedupScope":"cell",`, ``},
		{"categories[1].repeatWindow", `"cell","repeatWindow":30000`, `"cell"`},
		{"categories[1].dedupScope", `"dedupScope":"cell"`, `"dedupScope":null`},
		{"categories[2].dedupScope", `"effect":"side_effect"`, `"effect":"token","repeatWindow":1`},
		{"categories[2].dedupScope", `{"name":"unsafe"`, `{"name":"new","aim":1,"deadline":2,"credit":1,"effect":"token","repeatWindow":1},{"name":"unsafe"`},
	} {
		text := strings.Replace(configText, c.old, c.new, 1)
		if text == configText {
			t.Fatalf("%s: nothing replaced", c.field)
		}
		write(text)
		if next, err := ParseReload([]byte(text), current); err == nil || next != nil {
			t.Errorf("%s for %.40s: got %v, error %v, want an error", c.new, c.old, next, err)
		}
		r := Reload(path, current)
		if r.Err == nil || !strings.Contains(strings.ToLower(r.Err.Error()), strings.ToLower(c.field)) {
			t.Errorf("%s for %.40s: got error %v, want one that names %q", c.new, c.old, r.Err, c.field)
		}
	}
}

// Guards against applying a file that lacks the dedupScope of the only keyed class: retries would go to servers that do
// not know the key.
func TestReloadRejectsMissingDedupScope(t *testing.T) {
	others := `{"name":"safe","aim":1,"deadline":2,"credit":1,"effect":"pure"},{"name":"unsafe","aim":1,"deadline":2,"credit":1,"effect":"side_effect"}`
	with := func(classes string) []byte {
		start, end := strings.Index(configText, `"categories":[`), strings.Index(configText, `],
 "accounts"`)
		return []byte(configText[:start] + `"categories":[` + classes + configText[end:])
	}
	keyed := `,{"name":"keyed","aim":1,"deadline":2,"credit":1,"effect":"token","dedupScope":"zone","repeatWindow":9}`
	scopeless := strings.Replace(keyed, `"dedupScope":"zone",`, ``, 1)
	for _, c := range []struct {
		name, current, next string
		ok                  bool
	}{
		{"the same", others + keyed, others + keyed, true},
		{"without the key", others + keyed, others + scopeless, false},
		{"first keyed class", others, others + keyed, true},
		{"first keyed class, without the key", others, others + scopeless, false},
		{"a second keyed class, without the key", others + keyed, others + keyed + strings.Replace(scopeless, "keyed", "other", 1), false},
		{"never had the key", others + scopeless, others + scopeless, true},
		{"the class goes", others + keyed, others, true},
	} {
		current, err := Parse(with(c.current))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		_, err = ParseReload(with(c.next), current)
		if (err == nil) != c.ok || err != nil && !strings.HasSuffix(err.Error(), ".dedupScope: missing") {
			t.Errorf("%s: got error %v, want accepted %v", c.name, err, c.ok)
		}
	}
}
