package world

import (
	"fmt"
)

// machineSpeeds are the speeds of the machine types. Each server runs on a machine of a random type.
var machineSpeeds = []float64{0.6, 0.8, 1, 1.2, 1.5}

// generateServers assigns the servers of each service to the zones in rotation, starting at a random zone, and to
// random racks and machine types.
func (w *World) generateServers() {
	f := &w.Scenario.Fleet
	rng := w.rng(streamServers)
	var first, others []int // the services of the servers to add: first one server of each service, then the others
	for i := range w.Services {
		first = append(first, i)
		for range cap(w.Services[i].Servers) - 1 {
			others = append(others, i)
		}
	}
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	firstZone := make([]int, len(w.Services))
	for i := range firstZone {
		firstZone[i] = rng.IntN(f.Zones)
	}
	for _, service := range append(first, others...) {
		s := &w.Services[service]
		w.addServer(service, (firstZone[service]+len(s.Servers))%f.Zones, rng.IntN(f.Racks), machineSpeeds[rng.IntN(len(machineSpeeds))])
	}
}

// addServer appends a server.
func (w *World) addServer(service, zone, rack int, speed float64) {
	i := len(w.Servers)
	w.Services[service].Servers = append(w.Services[service].Servers, i)
	w.Servers = append(w.Servers, Server{
		ID: w.serverID(i, 0), Addr: serverAddr(i, 0),
		Service: service, Zone: zone, Region: zone / (w.Scenario.Fleet.Zones / w.Scenario.Fleet.Regions), Rack: rack,
		Speed: speed, Slots: w.Scenario.Fleet.Slots,
	})
}

// IDs and addresses are derived from a server's position in World.Servers and its generation, which is how often it was
// replaced.
const (
	positionBits  = 13
	addrsPerOctet = 250
	serverPort    = 9000
)

// feistelRounds is the number of rounds that mix the halves of an ID.
const feistelRounds uint64 = 4

// serverAddr returns the address of a generation of a server. It is unique, and within the networks 127.16 to 127.63;
// the discovery service and relays use the networks above.
func serverAddr(position, generation int) string {
	n := generation<<positionBits | position
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+n/(addrsPerOctet*addrsPerOctet)%48, n/addrsPerOctet%addrsPerOctet, n%addrsPerOctet+1, serverPort)
}

// serverID returns the ID of a generation of a server. It is unique and looks random: a Feistel permutation of the
// position and the generation.
func (w *World) serverID(position, generation int) string {
	n := uint32(generation<<positionBits | position)
	left, right := uint16(n>>16), uint16(n)
	for round := range feistelRounds {
		left, right = right, left^w.mixRound(right, round)
	}
	return fmt.Sprintf("s-%04x%04x", left, right)
}

// ServerPosition returns the position of the server that has the ID in any generation, and whether the ID is valid.
func (w *World) ServerPosition(id string) (int, bool) {
	var left, right uint16
	if n, err := fmt.Sscanf(id, "s-%04x%04x", &left, &right); n != 2 || err != nil || len(id) != len("s-01234567") {
		return 0, false
	}
	for round := feistelRounds; round > 0; round-- {
		left, right = right^w.mixRound(left, round-1), left
	}
	n := uint32(left)<<16 | uint32(right)
	position := int(n & (1<<positionBits - 1))
	return position, position < len(w.Servers)
}

// mixRound is the round function of the Feistel permutation.
func (w *World) mixRound(v uint16, round uint64) uint16 {
	x := (uint64(v) + round<<16 + 1) * (w.Scenario.Seed | 1) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	return uint16(x * 0xbf58476d1ce4e5b9 >> 32)
}
