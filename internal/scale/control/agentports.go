package control

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/scale/meter"
	"example.org/ryeloft/internal/scale/result"
)

// agentPorts holds the ports of a control plane machine, one per agent, and the meter that counts their bytes. The
// mutex of the service that owns an agentPorts guards all of its fields.
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

// serve opens and serves all ports. identify wraps a listener so that its calls are attributed to an agent. After an
// error some ports may be open.
func (p *agentPorts) serve(server *http.Server, identify func(l net.Listener, agent int) net.Listener) error {
	for _, port := range p.ports {
		l, err := port.listen()
		if err != nil {
			return err
		}
		metered := identify(p.meter.Listener(l, port.agent), port.agent)
		go func() { _ = server.Serve(metered) }() // returns an error when the port closes
	}
	return nil
}

func (p *agentPorts) close() {
	for _, port := range p.ports {
		port.close()
	}
}

// setPartitioned starts or ends a partition between agents and the machine.
func (p *agentPorts) setPartitioned(agents []int, partitioned bool) error {
	for _, agent := range agents {
		if agent < 0 || agent >= len(p.ports) {
			return fmt.Errorf("cannot partition agent %d: there are %d agents", agent, len(p.ports))
		}
	}
	for _, agent := range agents {
		p.ports[agent].setPartitioned(partitioned)
	}
	return nil
}

// bytes returns the bytes received and sent by agent and second, and sets their sums in m.
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
