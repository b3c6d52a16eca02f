package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// fanOut is how many calls a request makes in the mean. Below 1, each layer has fewer calls than the one above, as in
// fleets where few requests go all the way down.
const fanOut = 0.9

// What is drawn from streams of its own, so that a fleet with more real agents is otherwise the same fleet.
const (
	streamClasses = iota + 1
	streamCalls
	streamServers
	streamWork
	streamEvents
)

// machineSpeeds are those of the kinds of machine; each server is on one of them, by chance.
var machineSpeeds = []float64{0.6, 0.8, 1, 1.2, 1.5}

// Draw draws a scenario's fleet. Its error is the scenario's, if that cannot be used.
//
// An agent i stands beside the server i, modulo their number. Where there are fewer agents than servers, requests call
// on by an agent of the same service; a service without any makes no calls, and the roots make up for it.
func Draw(s *scenario.Scenario) (*World, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &World{Scenario: s}
	perRegion := s.Fleet.Zones / s.Fleet.Regions
	for z := range s.Fleet.Zones {
		w.Zones = append(w.Zones, fmt.Sprintf("r%d-z%d", z/perRegion, z%perRegion))
	}
	sizes := apportion(s.Fleet.Servers, s.Fleet.Services, func(i int) float64 {
		return math.Pow(float64(i+1), -s.Fleet.Uneven)
	})
	w.drawServices(sizes)
	w.drawServers()
	w.drawCalls()
	w.placeAgents()
	w.drawLoad()
	return w, nil
}

func (w *World) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.Scenario.Seed, stream))
}

// apportion shares a whole number out by weight, at least 1 to each of n; the first ones of the same claim get the rest.
func apportion(whole, n int, weight func(int) float64) []int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	out, claim, order := make([]int, n), make([]float64, n), make([]int, n)
	left := whole
	for i := range n {
		exact := float64(whole-n) * weight(i) / sum
		out[i], order[i] = 1+int(exact), i
		claim[i] = exact - math.Floor(exact)
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(claim[b], claim[a]) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// callsPerLayer returns the calls to layers 1 to depth for each root, if all requests call on.
func callsPerLayer(depth int) []float64 {
	out := make([]float64, depth)
	for d := range out {
		out[d] = math.Pow(fanOut, float64(d))
	}
	return out
}

// drawServices gives each service its layer and class, the largest one first to the layer that lacks most servers for
// the calls that come to it (the front: that it makes), but none to a full layer while as many are empty as are left.
func (w *World) drawServices(sizes []int) {
	f := &w.Scenario.Fleet
	calls := callsPerLayer(f.Depth)
	lacks := append([]float64{calls[0]}, calls...)
	sum := 0.0
	for _, c := range lacks {
		sum += c
	}
	for i := range lacks {
		lacks[i] *= float64(f.Servers) / sum
	}
	layers := make([][]int, f.Depth+1) // sizes of the services of each
	empty := len(layers)
	for i, size := range sizes {
		best := -1
		for l := range layers {
			if empty == len(sizes)-i && len(layers[l]) > 0 {
				continue
			}
			if best < 0 || lacks[l] > lacks[best] {
				best = l
			}
		}
		if len(layers[best]) == 0 {
			empty--
		}
		layers[best] = append(layers[best], size)
		lacks[best] -= float64(size)
	}
	for l, of := range layers {
		for i, size := range of {
			w.Services = append(w.Services, Service{Name: fmt.Sprintf("d%d-%d", l, i), Layer: l, Servers: make([]int, 0, size)})
		}
	}
	w.Deepest = slices.IndexFunc(w.Services, func(s Service) bool { return s.Layer == f.Depth }) // the first is the largest
	w.drawClasses()
}

// drawClasses shares the services out among the classes, and which is which by chance.
func (w *World) drawClasses() {
	classes, left := w.Scenario.Classes, 0.0
	order := w.rng(streamClasses).Perm(len(w.Services))
	class := 0
	left = classes[0].Share * float64(len(order))
	for _, i := range order {
		for left < 0.5 && class < len(classes)-1 {
			class++
			left += classes[class].Share * float64(len(order))
		}
		w.Services[i].Class = class
		left--
	}
}

// drawServers places each service's servers in turn in the zones, from one by chance on, and on machines by chance.
func (w *World) drawServers() {
	f, r := &w.Scenario.Fleet, w.rng(streamServers)
	var first, others []int // services
	for i := range w.Services {
		first = append(first, i)
		for range cap(w.Services[i].Servers) - 1 {
			others = append(others, i)
		}
	}
	r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	from := make([]int, len(w.Services))
	for i := range from {
		from[i] = r.IntN(f.Zones)
	}
	for _, service := range append(first, others...) {
		s := &w.Services[service]
		w.addServer(service, (from[service]+len(s.Servers))%f.Zones, r.IntN(f.Racks), machineSpeeds[r.IntN(len(machineSpeeds))])
	}
}

// addServer puts one more server behind the others.
func (w *World) addServer(service, zone, rack int, speed float64) {
	i := len(w.Servers)
	w.Services[service].Servers = append(w.Services[service].Servers, i)
	w.Servers = append(w.Servers, Server{
		ID: w.serverID(i, 0), Addr: serverAddr(i, 0),
		Service: service, Zone: zone, Region: zone / (w.Scenario.Fleet.Zones / w.Scenario.Fleet.Regions), Rack: rack,
		Speed: speed, Slots: w.Scenario.Fleet.Slots,
	})
}

// drawCalls joins each layer to the next, so that calls come to each service by its servers' number. Both layers are laid
// along one line, each service as long as its share; where two lie over each other, the one calls the other as often as
// that is long. This is done twice, in two orders, for more than the fewest edges.
func (w *World) drawCalls() {
	r := w.rng(streamCalls)
	for layer := range w.Scenario.Fleet.Depth {
		callers, called := w.servicesOfLayer(layer), w.servicesOfLayer(layer+1)
		flow := map[[2]int]float64{}
		for range 2 {
			r.Shuffle(len(callers), func(i, j int) { callers[i], callers[j] = callers[j], callers[i] })
			r.Shuffle(len(called), func(i, j int) { called[i], called[j] = called[j], called[i] })
			w.overlay(callers, called, flow)
		}
		total := float64(w.countServers(callers))
		for _, c := range callers {
			w.setCalls(c, called, flow, total, layer)
		}
	}
}

// overlay adds half of the shares that two layers' services have in common, laid along one line.
func (w *World) overlay(callers, called []int, flow map[[2]int]float64) {
	// Whole numbers, so that no sliver is left by rounding: each layer is as long as the product of both numbers of servers.
	above, below := w.countServers(callers), w.countServers(called)
	whole := float64(above) * float64(below)
	i, j, leftI, leftJ := 0, 0, 0, 0
	for i < len(callers) || j < len(called) {
		if leftI == 0 {
			leftI = len(w.Services[callers[i]].Servers) * below
		}
		if leftJ == 0 {
			leftJ = len(w.Services[called[j]].Servers) * above
		}
		both := min(leftI, leftJ)
		flow[[2]int{callers[i], called[j]}] += float64(both) / whole / 2
		if leftI -= both; leftI == 0 {
			i++
		}
		if leftJ -= both; leftJ == 0 {
			j++
		}
	}
}

// setCalls turns a caller's part of the flow, of which all callers' makes 1, into chances, in the order of the services.
func (w *World) setCalls(caller int, called []int, flow map[[2]int]float64, total float64, layer int) {
	s := &w.Services[caller]
	out := 1.0
	if layer > 0 {
		out = fanOut
	}
	share := float64(len(s.Servers)) / total
	for _, to := range slices.Sorted(slices.Values(called)) {
		if f := flow[[2]int{caller, to}]; f > 0 {
			s.Calls = append(s.Calls, Call{Service: to, Chance: min(1, out*f/share)})
		}
	}
}

// servicesOfLayer returns the services of one layer.
func (w *World) servicesOfLayer(layer int) (out []int) {
	for i, s := range w.Services {
		if s.Layer == layer {
			out = append(out, i)
		}
	}
	return out
}

func (w *World) countServers(services []int) (n int) {
	for _, s := range services {
		n += len(w.Services[s].Servers)
	}
	return n
}

// placeAgents puts agents beside the servers and chooses the real ones: spread evenly, and where it can be so that each
// service keeps one that is modelled.
func (w *World) placeAgents() {
	n, real := w.Scenario.Agents(), w.Scenario.Fleet.Real
	modelled := make([]int, len(w.Services))
	for i := range n {
		server := i % len(w.Servers)
		w.Agents = append(w.Agents, Agent{Name: fmt.Sprintf("n%d", i), Server: server})
		modelled[w.Servers[server].Service]++
	}
	for k := range real {
		i := w.nextSimulated(k*n/real, func(service int) bool { return modelled[service] > 1 })
		if i < 0 {
			i = w.nextSimulated(k*n/real, func(int) bool { return true })
		}
		w.Agents[i].Real = true
		modelled[w.Servers[w.Agents[i].Server].Service]--
	}
	w.assignCallingAgents()
}

// nextSimulated returns the first agent from one on, and around, that is not real and whose service will do, or -1.
func (w *World) nextSimulated(from int, will func(service int) bool) int {
	for k := range w.Agents {
		i := (from + k) % len(w.Agents)
		if a := &w.Agents[i]; !a.Real && will(w.Servers[a.Server].Service) {
			return i
		}
	}
	return -1
}

// assignCallingAgents finds for each server the agent by which its requests call on.
func (w *World) assignCallingAgents() {
	w.callingAgent = make([]int, len(w.Servers))
	of := make([][]int, len(w.Services)) // modelled agents
	for i := range w.callingAgent {
		w.callingAgent[i] = -1
	}
	for i, a := range w.Agents {
		if a.Real {
			continue
		}
		of[w.Servers[a.Server].Service] = append(of[w.Servers[a.Server].Service], i)
		if w.callingAgent[a.Server] < 0 {
			w.callingAgent[a.Server] = i
		}
	}
	for s := range w.Services {
		for i, server := range w.Services[s].Servers {
			if w.callingAgent[server] < 0 && len(of[s]) > 0 {
				w.callingAgent[server] = of[s][i%len(of[s])]
			}
		}
	}
}

// CallingAgent returns the agent by which a server's requests call on: the modelled one beside it, or else one of the same
// service. Below 0 means that there is none, and that they call nothing.
func (w *World) CallingAgent(server int) int {
	if server < len(w.callingAgent) {
		return w.callingAgent[server]
	}
	return -1 // echo servers call nothing
}

// drawLoad sets the roots so that the fleet's calls come out as many as the scenario says, and the services' times of
// work so that their mean over all calls is the scenario's.
func (w *World) drawLoad() {
	w.setRootRates(1)
	f := &w.Scenario.Fleet
	rates := w.ServiceRates()
	total := sum(rates)
	if total == 0 { // with real agents alone there are no calls to model
		for i := range w.Services {
			w.Services[i].Work = time.Duration(f.ServiceMS * float64(time.Millisecond))
		}
		return
	}
	w.setRootRates(f.CallsPerSecond / total)
	r := w.rng(streamWork)
	works, weighted := make([]float64, len(w.Services)), 0.0
	for i := range works {
		works[i] = 0.5 + r.Float64()
		weighted += works[i] * rates[i]
	}
	for i := range works {
		ms := works[i] * f.ServiceMS * total / weighted
		w.Services[i].Work = time.Duration(ms * float64(time.Millisecond)).Round(time.Microsecond)
	}
}

// setRootRates gives each front service as many roots a second for each of its servers, by its modelled agents alike.
func (w *World) setRootRates(perServer float64) {
	modelled := make([]int, len(w.Services))
	for _, a := range w.Agents {
		if !a.Real {
			modelled[w.Servers[a.Server].Service]++
		}
	}
	for i, a := range w.Agents {
		s := w.Servers[a.Server].Service
		if !a.Real && w.Services[s].Layer == 0 {
			w.Agents[i].RootCallsPerSecond = perServer * float64(len(w.Services[s].Servers)) / float64(modelled[s])
		}
	}
}

// ServiceRates returns the calls a second to expect at each service; the front and echo services are not called.
func (w *World) ServiceRates() []float64 {
	rates, made := make([]float64, len(w.Services)), make([]float64, len(w.Services))
	for _, a := range w.Agents {
		made[w.Servers[a.Server].Service] += a.RootCallsPerSecond
	}
	for i, s := range w.Services { // callers stand before those they call
		if s.Layer > 0 {
			made[i] = rates[i] * w.callingShare(i)
		}
		for _, c := range s.Calls {
			rates[c.Service] += made[i] * c.Chance
		}
	}
	return rates
}

// callingShare is the share of a service's requests that have an agent to call on by.
func (w *World) callingShare(service int) float64 {
	if w.CallingAgent(w.Services[service].Servers[0]) < 0 { // all of a service's servers have one, or none
		return 0
	}
	return 1
}

// LayerRates returns the calls a second to expect at layers 1 to depth, the first one at position 0.
func (w *World) LayerRates() []float64 {
	out := make([]float64, w.Scenario.Fleet.Depth)
	for i, rate := range w.ServiceRates() {
		if l := w.Services[i].Layer; l > 0 {
			out[l-1] += rate
		}
	}
	return out
}

func sum(all []float64) (out float64) {
	for _, v := range all {
		out += v
	}
	return out
}

// Ids and addresses are made from a server's position and from how often it was replaced, which is its generation.
const (
	positionBits  = 13
	addrsPerOctet = 250
	serverPort    = 9000
)

// serverAddr is unique to a server and generation, within 127.16 to 127.63: control and relays have those above.
func serverAddr(position, generation int) string {
	n := generation<<positionBits | position
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+n/(addrsPerOctet*addrsPerOctet)%48, n/addrsPerOctet%addrsPerOctet, n%addrsPerOctet+1, serverPort)
}

// serverID looks drawn but is never used twice: it is a permutation of what it is made of.
func (w *World) serverID(position, generation int) string {
	n := uint32(generation<<positionBits | position)
	left, right := uint16(n>>16), uint16(n)
	for round := range uint64(4) {
		left, right = right, left^w.mixRound(right, round)
	}
	return fmt.Sprintf("s-%04x%04x", left, right)
}

// ServerPosition returns the server that a list means by an id, in whatever generation; false if it is none of the world's.
func (w *World) ServerPosition(id string) (int, bool) {
	var left, right uint16
	if n, err := fmt.Sscanf(id, "s-%04x%04x", &left, &right); n != 2 || err != nil || len(id) != len("s-01234567") {
		return 0, false
	}
	for round := uint64(4); round > 0; round-- {
		left, right = right^w.mixRound(left, round-1), left
	}
	n := uint32(left)<<16 | uint32(right)
	position := int(n & (1<<positionBits - 1))
	return position, position < len(w.Servers)
}

func (w *World) mixRound(v uint16, round uint64) uint16 {
	x := (uint64(v) + round<<16 + 1) * (w.Scenario.Seed | 1) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	return uint16(x * 0xbf58476d1ce4e5b9 >> 32)
}
