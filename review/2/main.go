// Command case2: an agent that ends gives a counter server a request whose body lacks pieces.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"example.org/ryeloft/review/standin"
)

const (
	uploads   = 8
	pieceSize = 2 << 10
	interval  = 25 * time.Millisecond  // 82 kB/s; the page allows clients 64 kB/s
	lead      = 500 * time.Millisecond // from the start of the uploads to SIGTERM
	firstEnd  = 3600 * time.Millisecond
	endStep   = 50 * time.Millisecond // the uploads end one after the other, 3.60 s to 3.95 s after SIGTERM
	killAfter = 4 * time.Second       // the page: no sooner than 3 s + 0.7 s after SIGTERM
)

func main() { standin.Main(run) }

// pieces returns the number of pieces of an upload.
func pieces(upload int) int { return int((lead + firstEnd + time.Duration(upload)*endStep) / interval) }

func piece(upload, n int) []byte {
	line := fmt.Appendf(nil, "upload %d piece %03d.", upload, n)
	return bytes.Repeat(line, pieceSize/len(line)+1)[:pieceSize]
}

func run(c *standin.Case) (broken []string, err error) {
	var mu sync.Mutex
	sent := map[string][]byte{} // whole bodies by id
	handle := func(call *standin.Call) bool {
		mu.Lock()
		body := sent[call.ID]
		same := bytes.Equal(body, call.Body)
		c.Log("server %s got %s %s to its last byte: %d bytes, sha256 %.8x; the client's body has %d bytes, the same: %v",
			call.Server, call.Class, call.ID, len(call.Body), sha256.Sum256(call.Body), len(body), same)
		if !same {
			broken = append(broken, fmt.Sprintf("server %s runs %s %s with a body of %d bytes that no client sent (sent: %d bytes)",
				call.Server, call.Class, call.ID, len(call.Body), len(body)))
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		answer := "made for " + call.ID
		_, err := fmt.Fprintf(call.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		return err == nil
	}
	var members []standin.Member
	for i := range 4 {
		server, err := standin.StartServer(fmt.Sprintf("s-%d", i+1), handle)
		if err != nil {
			return nil, err
		}
		members = append(members, server.Member())
	}
	discovery, err := standin.StartDiscovery(members)
	if err != nil {
		return nil, err
	}
	settings := standin.Settings()
	settings["limits"].(standin.Object)["cancel"] = false
	agent, err := c.StartAgent(standin.Config{
		Name: "n1", Listen: standin.FreeAddr(), Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384,
		Known: discovery.Known(), Settings: settings,
	})
	if err != nil {
		return nil, err
	}
	var open sync.WaitGroup
	failures := 0
	for u := range uploads {
		r := &standin.Request{ID: standin.NewID(), Class: "card-sale", Key: fmt.Sprint(u), Budget: 2500 * time.Millisecond}
		var body []byte
		for n := range pieces(u) {
			body = append(body, piece(u, n)...)
		}
		sent[r.ID] = body
		open.Go(func() {
			if err := upload(c, agent.Listen, r, u); err != nil {
				c.Log("client: %s: %v", r.ID, err)
				mu.Lock()
				failures++
				mu.Unlock()
			}
		})
	}
	time.Sleep(lead)
	if c.Trouble {
		agent.Signal(syscall.SIGTERM)
		select {
		case <-agent.Exited():
		case <-time.After(killAfter):
			agent.Signal(syscall.SIGKILL)
		}
	}
	open.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	if !c.Trouble && failures > 0 {
		return nil, fmt.Errorf("%d uploads failed without the disruption", failures)
	}
	return broken, nil
}

// upload sends a request in pieces, to its end, and then reads the answer.
func upload(c *standin.Case, addr string, r *standin.Request, u int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	start := time.Now()
	if _, err := io.WriteString(conn, r.Head()+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for n := range pieces(u) {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceSize, piece(u, n)); err != nil {
			return fmt.Errorf("piece %d: %w", n, err)
		}
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * interval)))
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return fmt.Errorf("last chunk: %w", err)
	}
	c.Log("client: %s is sent to its last byte", r.ID)
	_ = conn.SetReadDeadline(time.Now().Add(r.Budget + 500*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	c.Log("client: %s got %d %q %v", r.ID, resp.StatusCode, body, err)
	if resp.StatusCode != 200 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}
