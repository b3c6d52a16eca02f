// Command case3: a counter server hangs while a long body is on its way to it, and the client gets no answer in time.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/review/standin"
)

const (
	uploads  = 20
	interval = 250 * time.Millisecond
	minBytes = 4 << 20
	maxBytes = 6 << 20
	budget   = 2500 * time.Millisecond
	lateness = 500 * time.Millisecond // after its time a request only earns nothing; later it is lost
	patience = 15 * time.Second       // how long the test waits, to see when the answer comes
)

func main() { standin.Main(run) }

func run(c *standin.Case) (broken []string, err error) {
	var members []standin.Member
	for i := range 4 {
		id := fmt.Sprintf("s-%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		hangs := c.Trouble && i < 2
		go accept(c, id, l, hangs)
		members = append(members, standin.Member{
			ID: id, HostPort: l.Addr().String(), Locality: "perth-east", Flavor: "standard", Cell: 1, Phase: "Ready", Size: 1,
		})
	}
	discovery, err := standin.StartDiscovery(members)
	if err != nil {
		return nil, err
	}
	agent, err := c.StartAgent(standin.Config{
		Name: "n1", Listen: standin.FreeAddr(), Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384,
		Known: discovery.Known(), Settings: standin.Settings(),
	})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var open sync.WaitGroup
	var served atomic.Int64
	for range uploads {
		r := &standin.Request{ID: standin.NewID(), Class: "card-sale", Key: "k", Budget: budget}
		size := minBytes + rand.IntN(maxBytes-minBytes)
		open.Go(func() {
			status, text := upload(c, agent.Listen, r, size)
			if status == http.StatusOK {
				served.Add(1)
			}
			if text != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, r.ID+": "+text)
			}
		})
		time.Sleep(interval)
	}
	open.Wait()
	fmt.Println("served:", served.Load())
	if !c.Trouble && served.Load() < uploads {
		return broken, fmt.Errorf("only %d of %d were served without the disruption", served.Load(), uploads)
	}
	return broken, nil
}

// accept serves a counter server's connections. One that hangs reads the head of a request and then nothing more.
func accept(c *standin.Case, id string, l net.Listener, hangs bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				call := r.Header.Get("X-Call-Id")
				c.Log("server %s got the head of %s, hangs: %v", id, call, hangs)
				if hangs {
					time.Sleep(2 * time.Minute)
					return
				}
				n, err := io.Copy(io.Discard, r.Body)
				c.Log("server %s got %d bytes of %s, error %v", id, n, call, err)
				if err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
				answer := "made for " + call
				if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
					return
				}
			}
		}()
	}
}

// upload sends a request and waits for its answer. The text says how the rule was broken.
func upload(c *standin.Case, addr string, r *standin.Request, size int) (status int, text string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	began := time.Now()
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", r.Head(), size)
	_ = conn.SetWriteDeadline(began.Add(patience))
	if _, err := conn.Write(append([]byte(head), make([]byte, size)...)); err != nil {
		// The request was not taken: its last byte was not written.
		c.Log("client: %s: only a part of %d bytes could be written in %v: %v", r.ID, size, time.Since(began), err)
		return 0, ""
	}
	sent := time.Now()
	c.Log("client: %s was written to its last byte, %d bytes in %v", r.ID, size, sent.Sub(began))
	_ = conn.SetReadDeadline(sent.Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.Log("client: %s got no answer within %v: %v", r.ID, time.Since(sent), err)
		return 0, fmt.Sprintf("no answer: %v, %v after its last byte", err, time.Since(sent))
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	took := time.Since(sent)
	c.Log("client: %s got %d after %v, its time was %v", r.ID, resp.StatusCode, took, r.Budget)
	if took > r.Budget+lateness {
		return resp.StatusCode, fmt.Sprintf("answered with %d only %v after its last byte, its time was %v", resp.StatusCode, took, r.Budget)
	}
	return resp.StatusCode, ""
}
