package agent

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const configText = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},"settings":` + testSettings + `}`

// A file that lacks what the present one has, or says what cannot be, is turned down with the name of the field.
func TestBrokenFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(configText)
	present, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if r := ReloadConfig(path, present); r.Err != nil {
		t.Fatalf("the same file: %v", r.Err)
	}
	write(strings.Replace(configText, `{"name":"unsafe"`, `{"name":"new","aim":1,"deadline":2,"credit":1,"effect":"pure"},{"name":"unsafe"`, 1))
	if r := ReloadConfig(path, present); r.Err != nil {
		t.Fatalf("a class more: %v", r.Err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"", configText, ""},
		{"", configText, "null"},
		{"", configText, configText[:len(configText)/2]},
		{"settings", `"settings":` + testSettings, `"x":1`},
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
	} {
		text := strings.Replace(configText, c.old, c.new, 1)
		if text == configText {
			t.Fatalf("%s: nothing replaced", c.field)
		}
		write(text)
		r := ReloadConfig(path, present)
		if r.Err == nil || !strings.Contains(strings.ToLower(r.Err.Error()), strings.ToLower(c.field)) {
			t.Errorf("%s for %.40s: error %v, want one that names %q", c.new, c.old, r.Err, c.field)
		}
	}
}

// Classes appear, vanish and become stricter; what is under way is answered as what it was taken for, and a broken
// file changes nothing.
func TestNewSettings(t *testing.T) {
	goOn := make(chan struct{}, 100)
	b := newBackend(t, func(_ int, r *http.Request) (string, bool) {
		if r.Header.Get("X-Wait") != "" {
			<-goOn
		}
		return okText, false
	})
	a, console := withConsole(t, b)
	expect := func(line string) {
		t.Helper()
		for begun := time.Now(); !strings.Contains(operator(t, console, "vars\n"), line+"\n"); time.Sleep(time.Millisecond) {
			if time.Since(begun) > wait {
				t.Fatalf("no %q in the figures", line)
			}
		}
	}
	held := a.request("celled", "15000m")
	held.Header.Set("X-Wait", "1")
	answered := make(chan int, 1)
	go func() {
		status, _ := a.do(t, held)
		answered <- status
	}()
	receive(t, "request", b.got)

	a.reloads <- Reload{Err: errors.New("broken")}
	expect("gw_config_rejected_total 1")
	if status, _ := a.do(t, a.request("celled", "15000m")); status != 200 {
		t.Errorf("after a broken file: answered %d", status)
	}

	// "celled" goes, "safe" may not be repeated any more, "new" comes before all others.
	text := strings.NewReplacer(`"categories":[`, `"categories":[
	  {"name":"new","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},`,
		`{"name":"celled","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"cell","repeatWindow":30000},`, "",
		`"effect":"pure"`, `"effect":"side_effect"`).Replace(testSettings)
	l := newLists(t, hosts(1, true, host("y", b.addr, "Ready", 0)))
	next := config(t, l.Listener.Addr().String(), text)
	a.reloads <- Reload{Config: next}
	expect("gw_config_applied_total 1")
	expect(`gw_responses_total{kind="new",result="ok"} 0`)
	receive(t, "call to the new discovery", l.calls)
	for _, c := range []struct {
		class, method string
		want          int
	}{{"new", "POST", 200}, {"unsafe", "POST", 200}, {"celled", "POST", 400}, {"safe", "GET", 405}, {"safe", "POST", 200}} {
		req := a.request(c.class, "15000m")
		req.Method = c.method
		req.Header.Set(keyHeader, "k")
		if status, _ := a.do(t, req); status != c.want {
			t.Errorf("%s %s: answered %d, want %d", c.method, c.class, status, c.want)
		}
	}
	goOn <- struct{}{}
	if status := receive(t, "answer", answered); status != 200 {
		t.Errorf("what was under way is answered %d", status)
	}
	expect(`gw_responses_total{kind="celled",result="ok"} 2`)
}

// A request that was read by the old settings is looked up by name in the new ones.
func TestTranslate(t *testing.T) {
	old := config(t, "127.0.0.1:1", testSettings).Settings
	next := config(t, "127.0.0.1:1", strings.NewReplacer(
		`"name":"celled"`, `"name":"other"`, `"effect":"pure"`, `"effect":"side_effect"`,
		`{"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},`, "").Replace(testSettings)).Settings
	for class, want := range []int{-1, -1, 1, -1} { // keyed and celled have gone, safe has another effect
		c := &call{set: &old, class: class}
		if ok := c.translate(&next); ok != (want >= 0) || ok && c.class != want {
			t.Errorf("%s: %v as %d, want %d", old.Classes[class], ok, c.class, want)
		}
	}
}
