package agent

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
	linkDial = 200 * time.Millisecond
	// linkReady is what a process says over the link once it takes clients.
	linkReady = 'y'
	// linkPass begins a line that passes places on: to a process that followed, so many of clients and of servers. Danger:
	// a process of an earlier release takes any linkReady for that word, so none may stand in a line.
	linkPass = "pass"
	maxLine  = 64 // bytes
)

// link tells a process of the one that runs beside it while one replaces the other. The end of its connection is the end
// of the other process, however that came.
type link struct {
	path string
	log  *slog.Logger

	mu       sync.Mutex
	rooms    *rooms
	listener *net.UnixListener  // behind the path, if it is this process's
	peers    map[net.Conn]*peer // those that run
	ready    bool               // this process takes clients
	leaving  bool
}

// peer is another process.
type peer struct {
	follows bool // it began beside this one; the other way round otherwise
	ready   bool // it takes clients
	passes  bool // it has passed places on, be it none
}

// linkPath is where the processes of one agent meet.
func linkPath(name string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return filepath.Join(os.TempDir(), fmt.Sprintf("link-%x.sock", h.Sum64()))
}

// joinLink finds the process that runs already, if any does. Danger: a killed process leaves its file behind; nobody
// answers there, and that is as good as no file.
func joinLink(path string, shares *rooms, log *slog.Logger) *link {
	k := &link{path: path, rooms: shares, log: log, peers: map[net.Conn]*peer{}}
	if c, err := net.DialTimeout("unix", path, linkDial); err == nil {
		k.add(c, false)
	}
	return k
}

// serves notes that this process takes clients now: it is the one to be found, and those it replaces hear of it.
func (k *link) serves() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ready = true
	for c := range k.peers {
		say(c, string(linkReady))
	}
	return k.take()
}

// say tells another process. What one that has gone or hangs does not take is lost, places with it, until it ends.
func say(c net.Conn, what string) {
	c.SetWriteDeadline(time.Now().Add(linkDial))
	io.WriteString(c, what)
}

// take puts a listener of this process behind the path. The mutex is held.
func (k *link) take() error {
	own := fmt.Sprintf("%s.%d", k.path, os.Getpid())
	os.Remove(own) // left by a process of the same number
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return fmt.Errorf("the link: %w", err)
	}
	l.SetUnlinkOnClose(false) // the name may be the next process's by then
	if err := os.Rename(own, k.path); err != nil {
		l.Close()
		return fmt.Errorf("the link: %w", err)
	}
	if k.listener != nil {
		k.listener.Close()
	}
	k.listener = l
	go func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			k.add(peer, true)
		}
	}()
	return nil
}

// add takes in another process and follows it to its end.
func (k *link) add(c net.Conn, follows bool) {
	p := &peer{follows: follows}
	k.mu.Lock()
	k.peers[c] = p
	processes := 1 + len(k.peers)
	if follows {
		k.rooms.follows(processes)
		k.pass(c, p, true) // before all else, by which the other knows that places are passed on
	} else {
		k.rooms.joins(processes)
	}
	if k.ready && !k.leaving {
		say(c, string(linkReady))
	}
	k.mu.Unlock()
	k.log.Info("another process of this agent runs", "processes", processes)
	ended := make(chan struct{})
	if follows {
		go k.passes(c, p, ended)
	}
	go func() {
		k.hear(c, p)
		close(ended)
		k.drop(c)
	}()
}

// hear listens to another process to its end. What makes no sense is nothing.
func (k *link) hear(c net.Conn, p *peer) {
	said := bufio.NewReader(c)
	var line []byte
	for {
		b, err := said.ReadByte()
		switch {
		case err != nil:
			return
		case b == linkReady:
			k.mu.Lock()
			p.ready = true
			if p.follows {
				k.pass(c, p, false)
			} else if !p.passes { // of an earlier release: it passes nothing on
				k.rooms.takeOwed()
			}
			k.mu.Unlock()
		case b != '\n':
			if len(line) <= maxLine {
				line = append(line, b)
			}
		default:
			if clients, servers, ok := parsePass(string(line)); ok && !p.follows {
				k.mu.Lock()
				p.passes = true
				k.rooms.take(clients, servers)
				k.mu.Unlock()
			}
			line = line[:0]
		}
	}
}

// parsePass reads a line that passes places on.
func parsePass(line string) (clients, servers int, ok bool) {
	words := strings.Split(line, " ")
	if len(line) > maxLine || len(words) != 3 || words[0] != linkPass {
		return 0, 0, false
	}
	of, err := strconv.ParseUint(words[1], 10, 16)
	to, err2 := strconv.ParseUint(words[2], 10, 16)
	return int(of), int(to), err == nil && err2 == nil
}

// passes passes places on to a process that follows, as clients leave them and as servers' are found free.
func (k *link) passes(c net.Conn, p *peer, ended <-chan struct{}) {
	look := time.NewTicker(leaveLook)
	defer look.Stop()
	for {
		select {
		case <-ended:
			return
		case <-k.rooms.admission.freed:
		case <-look.C:
		}
		k.mu.Lock()
		if k.peers[c] != nil {
			k.pass(c, p, false)
		}
		k.mu.Unlock()
	}
}

// pass passes on what there is to pass, or says that there is nothing. The mutex is held.
func (k *link) pass(c net.Conn, p *peer, anyway bool) {
	if clients, servers := k.rooms.spare(p.ready); anyway || clients+servers > 0 {
		say(c, fmt.Sprintf("%s %d %d\n", linkPass, clients, servers))
	}
}

// drop takes out a process that has ended.
func (k *link) drop(c net.Conn) {
	c.Close()
	k.mu.Lock()
	delete(k.peers, c)
	processes := 1 + len(k.peers)
	var err error
	if k.ready && !k.leaving {
		err = k.take() // the other may have had the name
	}
	k.rooms.ends(processes)
	k.mu.Unlock()
	k.log.Info("another process of this agent has ended", "processes", processes, "error", err)
}

// leave notes that this process is to end, and says whether another takes its clients. Without a link none does.
func (k *link) leave() (succeeded bool) {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	for _, p := range k.peers {
		succeeded = succeeded || p.ready
	}
	return succeeded
}

// close ends the link, by which the other process learns that this one is gone.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	if k.listener != nil {
		k.listener.Close()
	}
	for c := range k.peers {
		c.Close()
	}
}
