// Package config reads and checks the configuration file that the platform starts an agent with, and the files that follow
// it at SIGHUP. It holds no state: whoever asks keeps the configuration that is in force.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

const (
	// ReservedSockets is for the descriptors that are neither clients' nor servers': the standard streams, the listeners,
	// the runtime's poller, discovery, the console, the handover, and connections that are just being closed.
	ReservedSockets = 32
	// MinSockets is what an agent needs to hold a few clients and servers beside its own descriptors.
	MinSockets = 2*ReservedSockets + 32

	minMemoryMB = 16
	maxCores    = 1024
	// maxRelays bounds the list of relays; how many of them one agent tries is up to its discovery client.
	maxRelays = 1024
)

// ErrMissing is what a *settings.FieldError wraps if a key is missing.
var ErrMissing = errors.New("missing")

// Config is what the platform tells an agent at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Relays          []string // of the endpoint list, each an IP address and port; empty: none
	AdminAddr       string   // empty: none
	Seed            uint64
	Cores           float64
	MemoryMB        int
	Sockets         int
	Settings        settings.Settings
	CachedEndpoints discovery.EndpointList // the last list that the platform has; without a revision: none

	contents any // the file as it was decoded, without the endpoint list
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

// document is the text of a configuration: the names are this program's, the tags are the keys.
type document struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	Relays          []string        `json:"relays"`
	AdminAddr       string          `json:"console"`
	Seed            string          `json:"seed"`
	Limits          limits          `json:"limits"`
	CachedEndpoints json.RawMessage `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Parse reads and checks a configuration's text. Its errors name the field that cannot be used.
func Parse(text []byte) (*Config, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	contents, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := checkKeysPresent(required, contents); err != nil {
		return nil, err
	}
	if err := doc.checkAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(doc.Seed, 16, 64)
	if err != nil {
		return nil, &settings.FieldError{Field: "seed", Err: err}
	}
	if err := doc.Limits.check(); err != nil {
		return nil, err
	}
	cached, err := doc.cachedEndpoints()
	if err != nil {
		return nil, err
	}
	parsed, err := settings.Parse(doc.Settings)
	if err != nil {
		return nil, err
	}
	if err := checkSettings(&parsed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Config{
		Name:            doc.Name,
		Listen:          doc.Listen,
		Discovery:       doc.Discovery,
		Relays:          doc.Relays,
		AdminAddr:       doc.AdminAddr,
		Seed:            seed,
		Cores:           doc.Limits.Cores,
		MemoryMB:        int(doc.Limits.MemoryMB),
		Sockets:         doc.Limits.Sockets,
		Settings:        parsed,
		CachedEndpoints: cached,
		contents:        contents,
	}, nil
}

// checkAddresses checks all addresses; the console's alone may be left out.
func (d *document) checkAddresses() error {
	if err := checkAddress("listen", d.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", d.Discovery); err != nil {
		return err
	}
	if err := d.checkRelays(); err != nil {
		return err
	}
	if d.AdminAddr == "" {
		return nil
	}
	return checkAddress("console", d.AdminAddr)
}

func checkAddress(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &settings.FieldError{Field: field, Err: err}
	}
	return nil
}

// checkRelays rejects duplicates too: the second would be tried in the time that is meant for another relay.
func (d *document) checkRelays() error {
	if len(d.Relays) > maxRelays {
		return &settings.FieldError{Field: "relays", Err: fmt.Errorf("%d, more than %d", len(d.Relays), maxRelays)}
	}
	for i, addr := range d.Relays {
		field := fmt.Sprintf("relays[%d]", i)
		if err := checkAddress(field, addr); err != nil {
			return err
		}
		if addr == d.Discovery || slices.Contains(d.Relays[:i], addr) {
			return &settings.FieldError{Field: field, Err: fmt.Errorf("%s is taken", addr)}
		}
	}
	return nil
}

func (l *limits) check() error {
	switch {
	case !(l.Cores > 0 && l.Cores <= maxCores):
		return &settings.FieldError{Field: "limits.cores", Problem: fmt.Sprintf("cannot be %v", l.Cores)}
	case int(l.MemoryMB) < minMemoryMB:
		return &settings.FieldError{Field: "limits.memory_mb", Problem: fmt.Sprintf("cannot be %v", l.MemoryMB)}
	case l.Sockets < MinSockets:
		return &settings.FieldError{
			Field:   "limits.sockets",
			Problem: fmt.Sprintf("cannot be %d: at least %d are needed", l.Sockets, MinSockets),
		}
	}
	return nil
}

// cachedEndpoints returns the list that the platform has, or one without a revision if it has none.
func (d *document) cachedEndpoints() (discovery.EndpointList, error) {
	if len(d.CachedEndpoints) == 0 {
		return discovery.EndpointList{}, nil
	}
	list, err := discovery.Parse(d.CachedEndpoints)
	if err != nil {
		return discovery.EndpointList{}, &settings.FieldError{Field: "known", Err: err}
	}
	return list, nil
}

// checkSettings checks what the agent needs, and has the balancer check its part.
func checkSettings(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return &settings.FieldError{Field: "limits.connectTimeout", Problem: "must be above 0"}
	}
	if s.IdleTimeout < 0 {
		return &settings.FieldError{Field: "limits.idleClose", Problem: "must not be below 0"}
	}
	if err := checkNames("categories", s.ClassNames); err != nil {
		return err
	}
	if err := checkNames("accounts", s.TenantNames); err != nil {
		return err
	}
	_, err := balancer.New(s.Balancer, 0)
	return settings.WithKey(err)
}

// checkNames rejects names that are empty or stand twice: requests name their class and tenant.
func checkNames(list string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return &settings.FieldError{
				Field:   fmt.Sprintf("%s[%d].name", list, i),
				Problem: fmt.Sprintf("%q is empty or taken", name),
			}
		}
	}
	return nil
}
