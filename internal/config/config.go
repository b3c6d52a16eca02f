// Package config reads and checks the file that the platform starts an agent with.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

const (
	// ReservedSockets is for the descriptors that are neither clients' nor backends': the standard streams, the
	// listeners, the runtime's poller, discovery, the console, the link, and connections that are just being closed.
	ReservedSockets = 32
	// MinSockets is what an agent needs to hold a few clients and backends beside its own descriptors.
	MinSockets = 2*ReservedSockets + 32
)

// maxRelays bounds the list of relays as other lists are; how many of them one agent goes through is its client's affair.
const maxRelays = 1024

// Config is what the platform tells an agent at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Relays          []string // of the list, each an IP address and port; empty: none
	AdminAddr       string   // empty: none
	Seed            uint64
	Cores           float64
	MemoryMB        int
	Sockets         int
	Settings        settings.Settings
	CachedEndpoints discovery.EndpointList // the last one that the platform has; without a revision: none

	file any // as it was read, but for the list
}

// ReloadResult is the configuration file read again, or why it cannot be used.
type ReloadResult struct {
	Config *Config
	Err    error
}

// Reload reads and checks the file that is to follow a configuration. Its error names the file and the field.
func Reload(path string, present *Config) ReloadResult {
	next, err := read(path, func(text []byte) (*Config, error) { return ParseReload(text, present) })
	return ReloadResult{Config: next, Err: err}
}

// ParseReload checks the text that is to follow a configuration. Danger: a text that is not written to its end, or lacks
// a key, would fill in for what it does not say with zeros that may look like settings. Its errors name the field.
func ParseReload(text []byte, present *Config) (*Config, error) {
	next, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if key := lacks(present.file, next.file, ""); key != "" {
		return nil, fmt.Errorf("%s: missing", key)
	}
	return next, nil
}

// lacks returns the place of a key that the present file has and the next one has not, or nothing. In a list of objects
// each has to have the keys that all of the present ones have.
func lacks(present, next any, at string) string {
	switch p := present.(type) {
	case map[string]any:
		n, ok := next.(map[string]any)
		if !ok {
			return at
		}
		for _, key := range slices.Sorted(maps.Keys(p)) {
			inner := strings.TrimPrefix(at+"."+key, ".")
			if p[key] != nil && n[key] == nil {
				return inner
			}
			if key := lacks(p[key], n[key], inner); key != "" {
				return key
			}
		}
	case []any:
		n, ok := next.([]any)
		if !ok {
			return at
		}
		always := common(p)
		for i, v := range n {
			if key := lacks(always, v, fmt.Sprintf("%s[%d]", at, i)); key != "" {
				return key
			}
		}
	}
	return ""
}

// common returns an object of the keys that all objects of a list have, or nil if they are not all objects.
func common(list []any) any {
	var keys map[string]any
	for _, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if keys == nil {
			keys = map[string]any{}
			for key, v := range o {
				keys[key] = v != nil // whatever stands there
			}
		}
		maps.DeleteFunc(keys, func(key string, _ any) bool { return o[key] == nil })
	}
	if keys == nil {
		return nil
	}
	return keys
}

// Load reads and checks the configuration file. Its errors name the file and the field that cannot be used.
func Load(path string) (*Config, error) { return read(path, Parse) }

// read has a file's text parsed and names the file in the error.
func read(path string, parse func([]byte) (*Config, error)) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// required is what a file has to say: what it leaves out would be taken for zeros.
var required, _ = decoded([]byte(`{"name":"","listen":"","discovery":"","seed":"",
	"limits":{"cores":1,"memory_mb":1,"sockets":1},
	"settings":{"replicasOfMe":1,
		"categories":[{"name":"","aim":1,"deadline":1,"credit":1,"effect":""}],
		"limits":{"maxAttempts":1,"connectTimeout":1},
		"rules":{"coldFrom":1,"overloadFactor":1}}}`))

// Parse checks a configuration's text. Its errors name the field that cannot be used.
func Parse(text []byte) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Console, Seed string

		Relays []string `json:"relays"`
		Limits struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	cfg := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Relays: f.Relays, AdminAddr: f.Console,
		Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets,
	}
	var err error
	if cfg.file, err = decoded(text); err != nil {
		return nil, err
	}
	if key := lacks(required, cfg.file, ""); key != "" {
		return nil, fmt.Errorf("%s: missing", key)
	}
	if _, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if err = checkRelays(f.Relays, f.Discovery); err != nil {
		return nil, err
	}
	if _, err = netip.ParseAddrPort(f.Console); err != nil && f.Console != "" {
		return nil, fmt.Errorf("console: %w", err)
	}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	switch {
	case !(cfg.Cores > 0 && cfg.Cores <= 1024):
		return nil, fmt.Errorf("limits.cores cannot be %v", cfg.Cores)
	case cfg.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb cannot be %v", f.Limits.MemoryMB)
	case cfg.Sockets < MinSockets:
		return nil, fmt.Errorf("limits.sockets cannot be %d: at least %d are needed", cfg.Sockets, MinSockets)
	}
	if len(f.Known) > 0 {
		if cfg.CachedEndpoints, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if cfg.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, err
	}
	if err = checkSettings(&cfg.Settings); err != nil {
		return nil, err
	}
	return cfg, nil
}

// checkRelays checks the addresses of relays. Two of the same would be tried one after the other, in time meant for others.
func checkRelays(relays []string, discovery string) error {
	if len(relays) > maxRelays {
		return fmt.Errorf("relays: %d, more than %d", len(relays), maxRelays)
	}
	for i, addr := range relays {
		switch _, err := netip.ParseAddrPort(addr); {
		case err != nil:
			return fmt.Errorf("relays[%d]: %w", i, err)
		case addr == discovery || slices.Contains(relays[:i], addr):
			return fmt.Errorf("relays[%d]: %s is taken", i, addr)
		}
	}
	return nil
}

// decoded returns what a file says but for its list, which is checked by itself.
func decoded(text []byte) (any, error) {
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	delete(file, "known")
	return file, nil
}

// checkSettings checks what the agent needs beside the module, whose own check is balancer.New.
func checkSettings(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return errors.New("settings: limits.connectTimeout must be above 0")
	}
	if s.IdleTimeout < 0 {
		return errors.New("settings: limits.idleClose must not be below 0")
	}
	for what, names := range map[string][]string{"categories": s.ClassNames, "accounts": s.TenantNames} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("settings: %s[%d].name %q is empty or taken", what, i, name)
			}
		}
	}
	if _, err := balancer.New(s.Balancer, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
