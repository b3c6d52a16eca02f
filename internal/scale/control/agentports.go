package control

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/scale/meter"
	"example.org/ryeloft/internal/scale/result"
)

// agentPorts are the ports of a machine of the control side, one for each agent, and the meter of their bytes. Its service
// guards it.
type agentPorts struct {
	ports []*port // by agent
	meter *meter.Meter
}

func newAgentPorts(addrs []string, now time.Time) *agentPorts {
	p := &agentPorts{meter: meter.New(len(addrs), now)}
	for agent, addr := range addrs {
		p.ports = append(p.ports, newPort(agent, addr))
	}
	return p
}

// serve opens all ports and serves them; identify marks a listener's calls as an agent's. After an error some are open.
func (p *agentPorts) serve(server *http.Server, identify func(l net.Listener, agent int) net.Listener) error {
	for _, port := range p.ports {
		l, err := port.listen()
		if err != nil {
			return err
		}
		metered := identify(p.meter.Listener(l, port.agent), port.agent)
		go func() { _ = server.Serve(metered) }() // it ends with an error when its port closes
	}
	return nil
}

func (p *agentPorts) close() {
	for _, port := range p.ports {
		port.close()
	}
}

// setPartitioned partitions agents from the machine, or ends that.
func (p *agentPorts) setPartitioned(agents []int, partitioned bool) error {
	for _, agent := range agents {
		if agent < 0 || agent >= len(p.ports) {
			return fmt.Errorf("partitioning agent %d of %d", agent, len(p.ports))
		}
	}
	for _, agent := range agents {
		p.ports[agent].setPartitioned(partitioned)
	}
	return nil
}

// bytes returns the bytes by agent and second, and puts their sums into the machine's result.
func (p *agentPorts) bytes(m *result.ControlMachine) (in, out [][]int64) {
	in, out = p.meter.Bins()
	m.BytesIn = sumBins(in)
	m.BytesOut = sumBins(out)
	return in, out
}

func sumBins(bins [][]int64) (sum int64) {
	for _, agent := range bins {
		for _, n := range agent {
			sum += n
		}
	}
	return sum
}
