package handover

import (
	"sort"

	"example.org/ryeloft/internal/config"
)

// What an agent holds in memory, in bytes, whatever its peers do. docs/CAPACITY.md tells what each part consists of.
const (
	programBytes   = 7100 << 10 // the pages of the program file, which all processes share
	processBytes   = 3 << 20    // what the Go runtime needs for itself
	listBytes      = 1920 << 10 // an endpoint list of 1,024 members
	discoveryBytes = 780 << 10  // two calls to discovery, and a list while it is parsed
	consoleBytes   = 200 << 10
	handoverBytes  = 900 << 10 // request ids and two peers
	// requestBytes is for a client connection with a request, and its attempt with a connection to a server or its
	// download.
	requestBytes = 39 << 10
	// otherClientConnBytes is for a client connection without a request. It may be sending a head.
	otherClientConnBytes = 29 << 10
	// otherAttemptBytes is for an attempt beside the first ones of client connections: a second one, or one of a request whose
	// client has left, with its short body and its connection to a server.
	otherAttemptBytes = 16 << 10
	// idleServerConnBytes is for an idle connection to a server.
	idleServerConnBytes = 4 << 10
	// leastConns is the least number of client connections. With less memory than the platform gives, the sum exceeds the
	// memory because of them.
	leastConns = 64
	// MaxEvictedConns is how many client connections that were closed for others may be ending.
	MaxEvictedConns = 12
)

// HeldMemory is a part of what the processes of an agent hold in memory.
type HeldMemory struct {
	What  string
	Owner string // the package that keeps the bound
	Bytes int64
}

// connections counts the connections of the processes of an agent at their limits.
type connections struct {
	clients  int
	requests int // client connections with an open request, each with an attempt at a server
	servers  int // connections to servers
}

// connectionsOf returns the connections of the given number of processes.
func connectionsOf(cfg *config.Config, processes int) connections {
	l := LimitsFor(cfg, 1)
	if processes == 1 {
		return connections{clients: l.ActiveClientConns, requests: l.MaxRequests(), servers: l.ServerConns}
	}
	clients := processes * LimitsFor(cfg, processes).ActiveClientConns
	return connections{clients: clients, requests: clients, servers: l.ServerConns} // each has the limit of requests of one alone
}

// otherAttempts returns how many attempts there may be beside the first ones of the open requests.
func (c connections) otherAttempts() int {
	return max(0, min(c.servers, maxAttempts(c.clients))-c.requests)
}

// otherClients returns the number of client connections without a request, including those that are ending.
func (c connections) otherClients() int { return c.clients - c.requests + MaxEvictedConns }

// idleServerConns returns how many connections to servers are left for none of the attempts.
func (c connections) idleServerConns() int {
	return max(0, c.servers-c.requests-c.otherAttempts())
}

// serverBytes returns what the connections to servers hold apart from those of the first attempts.
func (c connections) serverBytes() int64 {
	return int64(c.otherAttempts())*otherAttemptBytes + int64(c.idleServerConns())*idleServerConnBytes
}

// bytes returns what the connections hold.
func (c connections) bytes() int64 {
	return int64(c.requests)*requestBytes + int64(c.otherClients())*otherClientConnBytes + c.serverBytes()
}

// MemoryOf returns what the given number of processes of an agent hold at most, part by part.
func MemoryOf(cfg *config.Config, processes int) []HeldMemory {
	l := LimitsFor(cfg, 1)
	n := int64(processes)
	c := connectionsOf(cfg, processes)
	return []HeldMemory{
		{"pages of the program", "the build", programBytes},
		{"the Go runtime", "`internal/agent`", n * processBytes},
		{"endpoint list of 1,024 members", "`internal/membership`", n * listBytes},
		{"calls to discovery", "`internal/discovery`", n * discoveryBytes},
		{"console connections", "`internal/admin`", n * consoleBytes},
		{"request ids, peers", "`internal/dispatch`, `internal/handover`", n * handoverBytes},
		{"client connections with a request and its attempt or download", "`internal/inbound`", int64(c.requests) * requestBytes},
		{"client connections without", "`internal/inbound`", int64(c.otherClients()) * otherClientConnBytes},
		{"further attempts, idle connections to servers", "`internal/upstream`", c.serverBytes()},
		{"heads, bodies and responses that are buffered", "`stream.Memory`", l.BufferedBytes},
		{"buffers of streams", "`stream.Buffers`", n * l.StreamBytes},
	}
}

// roomBeside returns the memory that the given number of processes have left for connections and for what is buffered.
func roomBeside(cfg *config.Config, processes int) int64 {
	memory := int64(cfg.MemoryMB) << 20
	ofEach := int64(processBytes + listBytes + discoveryBytes + consoleBytes + handoverBytes)
	return memory - programBytes - int64(processes)*(ofEach+memory/streamMemoryDivisor)
}

// connsInMemory returns how many client connections, at most limit, the given number of processes have room for. The rest
// of the memory is for the given number of connections to servers and for leastBuffered.
func connsInMemory(cfg *config.Config, processes, serverConns, limit int) int {
	room := roomBeside(cfg, processes) - leastBuffered(cfg)
	tooMany := sort.Search(limit, func(i int) bool {
		c := connections{clients: i + 1, requests: i + 1, servers: serverConns}
		if processes == 1 {
			c.requests = maxRequests(c.clients)
		}
		return c.bytes() > room
	})
	return min(limit, max(leastConns, tooMany))
}

// leastBuffered returns the least memory for heads, bodies and responses.
func leastBuffered(cfg *config.Config) int64 { return int64(cfg.MemoryMB) << 20 / minBufferedDivisor }

// bufferedInMemory returns the memory for heads, bodies and responses. It leaves room for a second process.
func bufferedInMemory(cfg *config.Config, clientConns, serverConns int) int64 {
	c := connections{clients: clientConns, requests: clientConns, servers: serverConns}
	wanted := int64(bufferedFraction*float64(int64(cfg.MemoryMB)<<20)) - int64(clientConns)*requestBytes
	return max(leastBuffered(cfg), min(wanted, roomBeside(cfg, 2)-c.bytes()))
}
