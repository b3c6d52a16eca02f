// Package handover coordinates the processes of one agent while a new process replaces an old one. They share the
// connection limits that the platform sets for the agent. Over a Unix socket they notify each other when they accept
// clients and which connection slots of their quotas they release.
//
// A Handover owns the socket, the connections to the other processes and the Quotas; its mutex guards them. It never
// accepts or closes a client's connection: it only changes the limits.
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
	// releaseInterval is how often a process checks for server connections that have become free.
	releaseInterval = 20 * time.Millisecond
	// readyWord is sent by a process once it accepts clients.
	readyWord = 'y'
	// releaseWord begins a line that releases slots to a newer process. It is followed by the number of client slots
	// and the number of server slots. A process of an earlier release takes readyWord anywhere in its input for that
	// word, so a line must not contain it.
	releaseWord  = "pass"
	maxLineBytes = 64
	// maxPeers bounds the number of other processes. The platform replaces one process at a time, but the one before may
	// still be finishing its requests.
	maxPeers = 2
)

// Handover is this process's side of a handover. When a connection ends, for whatever reason, the process at its other
// end counts as ended.
type Handover struct {
	path      string
	ids       RequestIDs
	processor Processor
	log       *slog.Logger

	mu       sync.Mutex
	quotas   *Quotas
	listener *net.UnixListener // at path; nil until this process accepts clients
	peers    map[net.Conn]*peerProcess
	ready    bool // this process accepts clients
	leaving  bool // this process is about to end
}

// peerProcess is another running process of the agent. The Handover's mutex guards it.
type peerProcess struct {
	pid           int                  // 0 if it is not known
	newer         bool                 // it started after this process
	ready         bool                 // it accepts clients
	releasesQuota bool                 // it has sent a release line, even one with no slots
	answersClaims bool                 // it supports claims of request ids and answers them in time
	claims        map[uint64]chan bool // pending claims by request id
}

// SocketPath returns the path of the Unix socket on which the processes of an agent find each other.
func SocketPath(agentName string) string {
	h := fnv.New64a()
	h.Write([]byte(agentName))
	return filepath.Join(os.TempDir(), fmt.Sprintf("link-%x.sock", h.Sum64()))
}

// Join connects to the process that is already running, if there is one. A socket file left behind by a killed process
// counts as no process, because nothing listens on it.
func Join(path string, quotas *Quotas, ids RequestIDs, processor Processor, log *slog.Logger) *Handover {
	h := &Handover{path: path, quotas: quotas, ids: ids, processor: processor, log: log, peers: map[net.Conn]*peerProcess{}}
	if conn, err := net.DialTimeout("unix", path, socketTimeout); err == nil {
		h.addPeer(conn, false)
	}
	return h
}

// Announce records that this process now accepts clients. It notifies the older processes, and from now on newer
// processes connect to this one.
func (h *Handover) Announce() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
	for conn := range h.peers {
		send(conn, string(readyWord))
	}
	return h.listen()
}

// Leave records that this process is about to end, and reports whether another process accepts its clients. It may be
// called more than once, and on a nil Handover, which a process without peers has.
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

// Close closes all connections, which tells the other processes that this one has ended. It does not wait for the
// goroutines that serve the connections: they end when the connections close and change only this process's quotas.
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

// listen replaces the socket at the path with a new listener of this process. The caller holds the mutex.
func (h *Handover) listen() error {
	tempPath := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	// An earlier process with the same process id may have left the file. If it cannot be removed, ListenUnix fails.
	_ = os.Remove(tempPath)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return fmt.Errorf("listening on the handover socket: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to the next process
	if err := os.Rename(tempPath, h.path); err != nil {
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

// accept adds newer processes as they connect. It returns when the listener is closed, because a new listener has
// replaced it or the Handover is closed.
func (h *Handover) accept(l *net.UnixListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !h.hasRoom() {
			conn.Close()
			continue
		}
		h.addPeer(conn, true)
	}
}

// hasRoom reports whether another process may join.
func (h *Handover) hasRoom() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.peers) < maxPeers
}

// addPeer adds another process and starts the goroutines that serve its connection until it ends.
func (h *Handover) addPeer(conn net.Conn, newer bool) {
	p := &peerProcess{pid: pidOf(conn), newer: newer, claims: map[uint64]chan bool{}}
	h.mu.Lock()
	h.peers[conn] = p
	h.shareProcessor()
	processes := 1 + len(h.peers)
	if newer {
		h.quotas.split(processes)
		h.releaseTo(conn, p, true) // sent first, so that the peer knows that this process releases slots
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

// removePeer removes a process that has ended.
func (h *Handover) removePeer(conn net.Conn) {
	conn.Close()
	h.mu.Lock()
	h.peers[conn].resolveAllClaims()
	if h.peers[conn].newer {
		h.ids.DropClaims()
	}
	delete(h.peers, conn)
	h.shareProcessor()
	processes := 1 + len(h.peers)
	var err error
	if h.ready && !h.leaving {
		err = h.listen() // the path may have belonged to the process that has ended
	}
	h.quotas.peerEnded(processes)
	h.mu.Unlock()
	h.log.Info("peer process ended", "processes", processes, "error", err)
}

// receive handles the input from another process until its connection ends. It ignores invalid lines.
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

// peerReady handles the notification that another process accepts clients.
func (h *Handover) peerReady(conn net.Conn, p *peerProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.ready = true
	switch {
	case p.newer:
		h.releaseTo(conn, p, false)
	case !p.releasesQuota: // an earlier release, which does not send release lines
		h.quotas.addShare()
	}
}

// peerReleased adds the slots that an older process has released. It ignores lines that are not release lines.
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

// releaseUntil releases slots to a newer process until that process has ended: whenever a client connection ends, and
// every releaseInterval for server connections that have become free.
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

// releaseTo releases the slots that this process can give up to a newer process. If there are none, it sends a line
// only if always is set. The caller holds the mutex.
func (h *Handover) releaseTo(conn net.Conn, p *peerProcess, always bool) {
	clients, servers := h.quotas.release(p.ready)
	if always || clients+servers > 0 {
		send(conn, fmt.Sprintf("%s %d %d\n", releaseWord, clients, servers))
	}
}

// parseRelease parses a release line.
func parseRelease(line string) (clients, servers int, ok bool) {
	words := strings.Split(line, " ")
	if len(line) > maxLineBytes || len(words) != 3 || words[0] != releaseWord {
		return 0, 0, false
	}
	clientSlots, err := strconv.ParseUint(words[1], 10, 16)
	if err != nil {
		return 0, 0, false
	}
	serverSlots, err := strconv.ParseUint(words[2], 10, 16)
	if err != nil {
		return 0, 0, false
	}
	return int(clientSlots), int(serverSlots), true
}

// send writes to another process. Text that the other process does not read in time is lost; slots released by lost
// text stay unused until one of the two processes ends.
func send(conn net.Conn, text string) {
	conn.SetWriteDeadline(time.Now().Add(socketTimeout))
	_, _ = io.WriteString(conn, text)
}
