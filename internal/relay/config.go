package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
)

const (
	maxConfig     = 64 << 10 // bytes
	mostLists     = 100_000
	mostCallers   = 1 << 20
	leastMemoryMB = 16
)

// Config is what a relay is started with.
type Config struct {
	Name        string `json:"name"`
	Listen      string `json:"listen"`    // IP address and port
	Discovery   string `json:"discovery"` // likewise, of the service above
	MetricsAddr string `json:"figures"`   // likewise; empty: none
	State       string `json:"state"`     // a directory of its own
	Limits      Limits `json:"limits"`
}

// Limits bound what a relay does.
type Limits struct {
	FullListsPerSecond float64 `json:"lists_per_second"` // whole lists that it hands out
	MaxCallers         int     `json:"callers"`          // calls at a time
	MemoryMB           int     `json:"memory_mb"`
}

// LoadConfig reads and checks a configuration file. Its errors name the field that cannot be used.
func LoadConfig(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig checks a configuration whole: a key that it does not know may be one misspelt.
func ParseConfig(text []byte) (*Config, error) {
	if len(text) > maxConfig {
		return nil, fmt.Errorf("over %d bytes", maxConfig)
	}
	var c Config
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one value")
	}
	return &c, c.check()
}

func (c *Config) check() error {
	for _, a := range []struct {
		field, addr string
		needed      bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"figures", c.MetricsAddr, false}} {
		if a.addr == "" && !a.needed {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	switch l := c.Limits; {
	case c.Name == "":
		return errors.New("name: missing")
	case c.State == "":
		return errors.New("state: missing")
	case !(l.FullListsPerSecond > 0 && l.FullListsPerSecond <= mostLists):
		return fmt.Errorf("limits.lists_per_second cannot be %v", l.FullListsPerSecond)
	case l.MaxCallers < 1 || l.MaxCallers > mostCallers:
		return fmt.Errorf("limits.callers cannot be %d", l.MaxCallers)
	case l.MemoryMB < leastMemoryMB:
		return fmt.Errorf("limits.memory_mb cannot be %d", l.MemoryMB)
	}
	return nil
}

// CheckReload tells whether a running relay can take this configuration in place of the present one: only discovery's address
// and the rate of whole lists can change. Its error names the field that cannot.
func (c *Config) CheckReload(present *Config) error {
	same := *present
	same.Discovery, same.Limits.FullListsPerSecond = c.Discovery, c.Limits.FullListsPerSecond
	switch {
	case c.Name != same.Name:
		return errors.New("name: needs a new process")
	case c.Listen != same.Listen:
		return errors.New("listen: needs a new process")
	case c.MetricsAddr != same.MetricsAddr:
		return errors.New("figures: needs a new process")
	case c.State != same.State:
		return errors.New("state: needs a new process")
	case c.Limits != same.Limits:
		return errors.New("limits: callers and memory_mb need a new process")
	}
	return nil
}
