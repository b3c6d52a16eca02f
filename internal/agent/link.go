package agent

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	linkDial = 200 * time.Millisecond
	// linkReady is what a process says over the link once it takes clients.
	linkReady = 'y'
)

// link tells a process of the one that runs beside it while one replaces the other. The end of its connection is the end
// of the other process, however that came.
type link struct {
	path   string
	shared func(processes int) // told how many there are now; it must not wait
	log    *slog.Logger

	mu       sync.Mutex
	listener *net.UnixListener // behind the path, if it is this process's
	peers    map[net.Conn]bool // whether it takes clients
	ready    bool              // this process takes clients
	leaving  bool
}

// linkPath is where the processes of one agent meet.
func linkPath(name string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return filepath.Join(os.TempDir(), fmt.Sprintf("link-%x.sock", h.Sum64()))
}

// joinLink finds the process that runs already, if any does. Danger: a killed process leaves its file behind; nobody
// answers there, and that is as good as no file.
func joinLink(path string, shared func(int), log *slog.Logger) *link {
	k := &link{path: path, shared: shared, log: log, peers: map[net.Conn]bool{}}
	if peer, err := net.DialTimeout("unix", path, linkDial); err == nil {
		k.add(peer)
	}
	return k
}

// serves notes that this process takes clients now: it is the one to be found, and those it replaces hear of it.
func (k *link) serves() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ready = true
	for peer := range k.peers {
		tellReady(peer)
	}
	return k.take()
}

func tellReady(peer net.Conn) {
	peer.SetWriteDeadline(time.Now().Add(linkDial))
	peer.Write([]byte{linkReady}) // one that does not take it has gone or hangs
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
			k.add(peer)
		}
	}()
	return nil
}

// add takes in another process and follows it to its end.
func (k *link) add(peer net.Conn) {
	k.mu.Lock()
	k.peers[peer] = false
	processes := 1 + len(k.peers)
	if k.ready && !k.leaving {
		tellReady(peer)
	}
	k.shared(processes) // under the mutex, or an older number could come last
	k.mu.Unlock()
	k.log.Info("another process of this agent runs", "processes", processes)
	go func() {
		said := make([]byte, 1)
		for {
			n, err := peer.Read(said)
			if err != nil {
				break
			}
			k.mu.Lock()
			k.peers[peer] = k.peers[peer] || n == 1 && said[0] == linkReady
			k.mu.Unlock()
		}
		k.drop(peer)
	}()
}

// drop takes out a process that has ended.
func (k *link) drop(peer net.Conn) {
	peer.Close()
	k.mu.Lock()
	delete(k.peers, peer)
	processes := 1 + len(k.peers)
	var err error
	if k.ready && !k.leaving {
		err = k.take() // the other may have had the name
	}
	k.shared(processes)
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
	for _, ready := range k.peers {
		succeeded = succeeded || ready
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
	for peer := range k.peers {
		peer.Close()
	}
}
