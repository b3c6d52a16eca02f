package control

import (
	"errors"
	"sync"

	"example.org/ryeloft/internal/scale/result"
)

var (
	errNotStarted     = errors.New("the part has not been started")
	errAlreadyStarted = errors.New("the part has been started before")
)

// machine is what the services of control and of relays have in common: one method runs at a time, under mu, which guards
// all fields of the service, and agents can be partitioned from it.
type machine struct {
	mu           sync.Mutex
	started      bool
	ports        *agentPorts
	usageAtStart usage // when the measured part began
}

// lockStarted locks the machine if it has been started.
func (m *machine) lockStarted() error {
	m.mu.Lock()
	if !m.started {
		m.mu.Unlock()
		return errNotStarted
	}
	return nil
}

// Partition partitions agents from the machine: their connections fall silent, new ones too. When that ends, these are reset.
func (m *machine) Partition(args PartitionArgs, _ *struct{}) error {
	if err := m.lockStarted(); err != nil {
		return err
	}
	defer m.mu.Unlock()
	return m.ports.setPartitioned(args.Agents, args.Partitioned)
}

// beginMeasurement starts the counts of bytes and usage from 0. mu is held.
func (m *machine) beginMeasurement() (usage, error) {
	now, err := currentUsage()
	if err != nil {
		return usage{}, err
	}
	m.usageAtStart = now
	m.ports.meter.Begin()
	return now, nil
}

// measure puts role, name, bytes and usage into a result, and returns the bytes by agent and second. mu is held.
func (m *machine) measure(role, name string, r *result.ControlMachine) (in, out [][]int64, err error) {
	now, err := currentUsage()
	if err != nil {
		return nil, nil, err
	}
	r.Role = role
	r.Name = name
	in, out = m.ports.bytes(r)
	now.fill(r, m.usageAtStart)
	return in, out, nil
}
