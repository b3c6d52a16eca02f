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
	maxConfigBytes        = 64 << 10
	maxFullListsPerSecond = 100_000
	maxCallers            = 1 << 20
	minMemoryMB           = 16
)

// Config is the configuration of a relay. The json tags are the keys in the file.
type Config struct {
	Name        string `json:"name"`
	Listen      string `json:"listen"`    // IP address and port
	Discovery   string `json:"discovery"` // IP address and port of the upstream service
	MetricsAddr string `json:"figures"`   // IP address and port; empty: no metrics are served
	State       string `json:"state"`     // state directory, not shared with other relays
	Limits      Limits `json:"limits"`
}

// Limits are the resource limits of a relay.
type Limits struct {
	FullListsPerSecond float64 `json:"lists_per_second"` // rate limit for full lists
	MaxCallers         int     `json:"callers"`          // maximum number of calls in flight
	MemoryMB           int     `json:"memory_mb"`
}

// ConfigError is returned for a configuration field with an invalid value.
type ConfigError struct {
	Field  string // key in the file, with dots between nested keys
	Reason string // begins with the separator from the field
	Err    error  // underlying error, or nil
}

func (e *ConfigError) Error() string { return e.Field + e.Reason }

func (e *ConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and validates a configuration file. Its errors name the invalid field.
func LoadConfig(path string) (*Config, error) {
	text, err := readConfig(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// readConfig reads a file, but no more of it than ParseConfig needs to detect that it is too long.
func readConfig(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read, so no data can be lost
	return io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
}

// ParseConfig parses and validates a configuration. It rejects unknown keys, which may be misspelt ones.
func ParseConfig(text []byte) (*Config, error) {
	if len(text) > maxConfigBytes {
		return nil, fmt.Errorf("over %d bytes", maxConfigBytes)
	}
	var cfg Config
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return &cfg, cfg.validate()
}

func (c *Config) validate() error {
	if err := validateAddr("listen", c.Listen); err != nil {
		return err
	}
	if err := validateAddr("discovery", c.Discovery); err != nil {
		return err
	}
	if c.MetricsAddr != "" {
		if err := validateAddr("figures", c.MetricsAddr); err != nil {
			return err
		}
	}
	if c.Name == "" {
		return &ConfigError{Field: "name", Reason: ": missing"}
	}
	if c.State == "" {
		return &ConfigError{Field: "state", Reason: ": missing"}
	}
	return c.Limits.validate()
}

func validateAddr(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &ConfigError{Field: field, Reason: ": " + err.Error(), Err: err}
	}
	return nil
}

func (l *Limits) validate() error {
	switch {
	case !(l.FullListsPerSecond > 0 && l.FullListsPerSecond <= maxFullListsPerSecond): // rejects NaN too
		return outOfRange("limits.lists_per_second", l.FullListsPerSecond)
	case l.MaxCallers < 1 || l.MaxCallers > maxCallers:
		return outOfRange("limits.callers", l.MaxCallers)
	case l.MemoryMB < minMemoryMB:
		return outOfRange("limits.memory_mb", l.MemoryMB)
	}
	return nil
}

func outOfRange(field string, value any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(" cannot be %v", value)}
}

// CheckReload returns an error unless a running relay can switch to this configuration from the current one. Only the
// address of discovery and the rate of full lists can change.
func (c *Config) CheckReload(current *Config) error {
	const needsRestart = ": cannot change without a restart"
	switch {
	case c.Name != current.Name:
		return &ConfigError{Field: "name", Reason: needsRestart}
	case c.Listen != current.Listen:
		return &ConfigError{Field: "listen", Reason: needsRestart}
	case c.MetricsAddr != current.MetricsAddr:
		return &ConfigError{Field: "figures", Reason: needsRestart}
	case c.State != current.State:
		return &ConfigError{Field: "state", Reason: needsRestart}
	case c.Limits.MaxCallers != current.Limits.MaxCallers || c.Limits.MemoryMB != current.Limits.MemoryMB:
		return &ConfigError{Field: "limits", Reason: ": callers and memory_mb cannot change without a restart"}
	}
	return nil
}
