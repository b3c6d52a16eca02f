// Package config reads and checks the configuration file that the platform starts an agent with, and reloads it on
// SIGHUP. It keeps no state: the caller keeps the configuration in force.
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
	// ReservedSockets is the number of file descriptors kept free for uses other than client and server connections:
	// the standard streams, the listeners, the runtime's poller, discovery, the console, the handover, and connections
	// that are being closed.
	ReservedSockets = 32
	// MinSockets is the smallest socket limit: it leaves room for a few client and server connections beside the
	// reserved descriptors.
	MinSockets = 2*ReservedSockets + 32

	minMemoryMB = 16
	maxCores    = 1024
	// maxRelays bounds the list of relays. The discovery client decides how many of them one agent tries.
	maxRelays = 1024
)

// ErrMissing is wrapped by the *settings.FieldError of a missing key.
var ErrMissing = errors.New("missing")

// Config is the configuration of an agent.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Relays          []string // relays of the endpoint list, each an IP address and port; may be empty
	AdminAddr       string   // address of the console; empty: no console
	Seed            uint64
	Cores           float64
	MemoryMB        int
	Sockets         int
	Settings        settings.Settings
	CachedEndpoints discovery.EndpointList // the platform's last endpoint list; without a revision if it has none

	contents any // the decoded file without the endpoint list, for ParseReload
}

// Load reads and checks the configuration file. Its errors name the file and the invalid field.
func Load(path string) (*Config, error) { return read(path, Parse) }

// read parses the contents of a file and adds the path to the parse error.
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

// document is the JSON form of a configuration.
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

// Parse parses and checks a configuration. Its errors name the invalid field.
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

// checkAddresses checks all addresses. Those of the console and the relays are optional.
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

// checkRelays checks the relay addresses. It also rejects duplicates, since trying an address twice would use the time
// meant for another relay.
func (d *document) checkRelays() error {
	if len(d.Relays) > maxRelays {
		return &settings.FieldError{Field: "relays", Err: fmt.Errorf("%d addresses, at most %d are allowed", len(d.Relays), maxRelays)}
	}
	for i, addr := range d.Relays {
		field := fmt.Sprintf("relays[%d]", i)
		if err := checkAddress(field, addr); err != nil {
			return err
		}
		if addr == d.Discovery || slices.Contains(d.Relays[:i], addr) {
			return &settings.FieldError{Field: field, Err: fmt.Errorf("duplicate address %s", addr)}
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

// cachedEndpoints returns the platform's last endpoint list, or one without a revision if it has none.
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

// checkSettings checks the settings that the agent itself uses, and has the balancer check the others.
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

// checkNames rejects empty and duplicate names, because requests identify their class and tenant by name.
func checkNames(list string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return &settings.FieldError{
				Field:   fmt.Sprintf("%s[%d].name", list, i),
				Problem: fmt.Sprintf("%q is empty or a duplicate", name),
			}
		}
	}
	return nil
}
