package control

import (
	"errors"
	"sync"

	"example.org/ryeloft/internal/scale/result"
)

var (
	errNotStarted     = errors.New("the service has not been started")
	errAlreadyStarted = errors.New("the service has already been started")
)

// machine is embedded in Service and RelayService and holds what they have in common. One method runs at a time, under
// mu, which guards all fields of the service. Agents can be partitioned from the machine.
type machine struct {
	mu           sync.Mutex
	started      bool
	ports        *agentPorts
	usageAtStart usage // at the start of the measurement period
}

// lockStarted locks mu, or returns errNotStarted with mu unlocked.
func (m *machine) lockStarted() error {
	m.mu.Lock()
	if !m.started {
		m.mu.Unlock()
		return errNotStarted
	}
	return nil
}

// Partition starts or ends a partition between agents and the machine. During a partition the agents' connections, new
// ones included, carry no data. When the partition ends, they are reset.
func (m *machine) Partition(args PartitionArgs, _ *struct{}) error {
	if err := m.lockStarted(); err != nil {
		return err
	}
	defer m.mu.Unlock()
	return m.ports.setPartitioned(args.Agents, args.Partitioned)
}

// beginMeasurement resets the measured bytes and usage. The caller holds mu.
func (m *machine) beginMeasurement() (usage, error) {
	now, err := currentUsage()
	if err != nil {
		return usage{}, err
	}
	m.usageAtStart = now
	m.ports.meter.Begin()
	return now, nil
}

// measure sets role, name, bytes and usage in r, and returns the bytes received and sent by agent and second. The
// caller holds mu.
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
