// Package handover connects the processes of one agent while one replaces the other. They share the connections that the
// platform grants them together, and notify each other over a Unix socket when they accept clients and which places in
// their quotas they release.
//
// A Handover owns the socket, the connections to the other processes and the Quotas; its mutex guards them. It never
// accepts or closes a client's connection: it only changes how many there may be.
package handover

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	socketTimeout = 200 * time.Millisecond
	// releaseInterval is how often a process looks for servers' connections that have become free.
	releaseInterval = 20 * time.Millisecond
	// readyWord is what a process sends once it accepts clients.
	readyWord = 'y'
	// releaseWord begins a line that releases places to a newer process: so many of clients and of servers. A process of
	// an earlier release reads any readyWord as that word, so a line must not contain one.
	releaseWord  = "pass"
	maxLineBytes = 64
)

// Handover is this process's side. The end of a connection is the end of the other process, however that came.
type Handover struct {
	path string
	ids  RequestIDs
	log  *slog.Logger

	mu       sync.Mutex
	quotas   *Quotas
	listener *net.UnixListener // behind the path, if it is this process's
	peers    map[net.Conn]*peerProcess
	ready    bool // this process accepts clients
	leaving  bool
}

// peerProcess is another process that runs. The Handover's mutex guards it.
type peerProcess struct {
	newer         bool // it started after this process
	ready         bool // it accepts clients
	releasesQuota bool // it has sent a line, be it of no places
	answersClaims bool // it knows claims of request ids
	claims        map[uint64]chan bool
}

// SocketPath is where the processes of one agent meet.
func SocketPath(agentName string) string {
	h := fnv.New64a()
	h.Write([]byte(agentName))
	return filepath.Join(os.TempDir(), fmt.Sprintf("link-%x.sock", h.Sum64()))
}

// Join finds the process that runs already, if there is one. A file that a killed process has left behind is as good as no
// file, because nobody answers there.
func Join(path string, quotas *Quotas, ids RequestIDs, log *slog.Logger) *Handover {
	h := &Handover{path: path, quotas: quotas, ids: ids, log: log, peers: map[net.Conn]*peerProcess{}}
	if conn, err := net.DialTimeout("unix", path, socketTimeout); err == nil {
		h.addPeer(conn, false)
	}
	return h
}

// Announce notes that this process accepts clients now: newer processes find it from now on, and older ones are notified.
func (h *Handover) Announce() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
	for conn := range h.peers {
		send(conn, string(readyWord))
	}
	return h.listen()
}

// Leave notes that this process is to end, and says whether another one accepts its clients. It may be called more than
// once, and on a nil Handover, that of a process without others.
func (h *Handover) Leave() (replaced bool) {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for _, p := range h.peers {
		replaced = replaced || p.ready
	}
	return replaced
}

// Close closes all connections, by which the other processes learn that this one ends. It does not wait for the
// goroutines that follow them, which end with their connections and change nothing but the quotas of this process.
func (h *Handover) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	if h.listener != nil {
		h.listener.Close()
	}
	for conn, p := range h.peers {
		if p.newer && p.answersClaims {
			h.sendSeen(conn)
		}
		conn.Close()
	}
}

// listen puts a listener of this process behind the path. The mutex is held.
func (h *Handover) listen() error {
	own := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	// A process of the same number may have left it; if it cannot be removed, listening fails.
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return fmt.Errorf("listening on the handover socket: %w", err)
	}
	l.SetUnlinkOnClose(false) // the name may be the next process's by then
	if err := os.Rename(own, h.path); err != nil {
		l.Close()
		return fmt.Errorf("replacing the handover socket: %w", err)
	}
	if h.listener != nil {
		h.listener.Close()
	}
	h.listener = l
	go h.accept(l)
	return nil
}

// accept takes in newer processes until the listener closes, which the Handover does when it gets another or is closed.
func (h *Handover) accept(l *net.UnixListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		h.addPeer(conn, true)
	}
}

// addPeer takes in another process and starts the goroutines that follow it to its end.
func (h *Handover) addPeer(conn net.Conn, newer bool) {
	p := &peerProcess{newer: newer, claims: map[uint64]chan bool{}}
	h.mu.Lock()
	h.peers[conn] = p
	processes := 1 + len(h.peers)
	if newer {
		h.quotas.split(processes)
		h.releaseTo(conn, p, true) // before all else, by which the other knows that places are released
	} else {
		h.quotas.join(processes)
		send(conn, claimsWord+"\n")
	}
	if h.ready && !h.leaving {
		send(conn, string(readyWord))
	}
	h.mu.Unlock()
	h.log.Info("peer process joined", "processes", processes)
	ended := make(chan struct{})
	if newer {
		go h.releaseUntil(ended, conn, p)
	}
	go func() {
		h.receive(conn, p)
		close(ended)
		h.removePeer(conn)
	}()
}

// removePeer takes out a process that has ended.
func (h *Handover) removePeer(conn net.Conn) {
	conn.Close()
	h.mu.Lock()
	h.peers[conn].settleAllClaims()
	if h.peers[conn].newer {
		h.ids.DropClaims()
	}
	delete(h.peers, conn)
	processes := 1 + len(h.peers)
	var err error
	if h.ready && !h.leaving {
		err = h.listen() // the other may have had the name
	}
	h.quotas.peerEnded(processes)
	h.mu.Unlock()
	h.log.Info("peer process ended", "processes", processes, "error", err)
}

// receive reads what another process sends, to its end. What makes no sense is left out.
func (h *Handover) receive(conn net.Conn, p *peerProcess) {
	in := bufio.NewReader(conn)
	var line []byte
	for {
		b, err := in.ReadByte()
		switch {
		case err != nil:
			return
		case b == readyWord:
			h.peerReady(conn, p)
		case b == '\n':
			if !h.receiveClaimLine(conn, p, string(line)) {
				h.peerReleased(p, string(line))
			}
			line = line[:0]
		case len(line) <= maxLineBytes:
			line = append(line, b)
		}
	}
}

// peerReady notes that another process accepts clients.
func (h *Handover) peerReady(conn net.Conn, p *peerProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.ready = true
	switch {
	case p.newer:
		h.releaseTo(conn, p, false)
	case !p.releasesQuota: // of an earlier release
		h.quotas.addEntitled()
	}
}

// peerReleased takes the places that an older process has released.
func (h *Handover) peerReleased(p *peerProcess, line string) {
	clients, servers, ok := parseRelease(line)
	if !ok || p.newer {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p.releasesQuota = true
	h.quotas.add(clients, servers)
}

// releaseUntil releases places to a newer process until that has ended, as clients leave them and as servers' connections
// are found free.
func (h *Handover) releaseUntil(ended <-chan struct{}, conn net.Conn, p *peerProcess) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-h.quotas.clientConns.Released():
		case <-ticker.C:
		}
		h.mu.Lock()
		if h.peers[conn] != nil {
			h.releaseTo(conn, p, false)
		}
		h.mu.Unlock()
	}
}

// releaseTo releases the places that there are to release; if there are none it says so only if always is set. The mutex
// is held.
func (h *Handover) releaseTo(conn net.Conn, p *peerProcess, always bool) {
	clients, servers := h.quotas.release(p.ready)
	if always || clients+servers > 0 {
		send(conn, fmt.Sprintf("%s %d %d\n", releaseWord, clients, servers))
	}
}

// parseRelease reads a line that releases places.
func parseRelease(line string) (clients, servers int, ok bool) {
	words := strings.Split(line, " ")
	if len(line) > maxLineBytes || len(words) != 3 || words[0] != releaseWord {
		return 0, 0, false
	}
	ofClients, err := strconv.ParseUint(words[1], 10, 16)
	if err != nil {
		return 0, 0, false
	}
	ofServers, err := strconv.ParseUint(words[2], 10, 16)
	if err != nil {
		return 0, 0, false
	}
	return int(ofClients), int(ofServers), true
}

// send writes to another process. What that does not read in time is lost, places included, until one of the two ends.
func send(conn net.Conn, text string) {
	conn.SetWriteDeadline(time.Now().Add(socketTimeout))
	_, _ = io.WriteString(conn, text)
}
