package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	burstConnections   = 4
	pipelinedRequests  = 100
	crowdBudget        = time.Second
	longHeadClients    = 60
	longHeadBytes      = 30_000
	burstUploads       = 4
	burstUploadBytes   = 8 << 20
	readinessInterval  = 50 * time.Millisecond
	readinessLimit     = minBudget + latenessAllowed
	burstLimit         = 3 * time.Second
	requestsAfterCrowd = 5
)

// Guards against a share of the processor that is too small for what sound clients send in bursts: pipelined requests, a
// crowd that connects at once, long heads, long uploads. Readiness checks are answered meanwhile.
func TestBurstsOfSoundClientsAtFullSpeed(t *testing.T) {
	if testing.Short() {
		t.Skip("bursts take too long with the race detector")
	}
	for _, l := range []limits{{32, 1024}, {32, 256}} {
		for _, burst := range []struct {
			name string
			send func(t *testing.T, a *limitedAgent) (failed int64)
		}{{"pipelines", sendPipelines}, {"crowd", sendCrowd}, {"long heads", sendLongHeads}, {"uploads", sendUploads}} {
			t.Run(fmt.Sprintf("%d sockets/%s", l.sockets, burst.name), func(t *testing.T) {
				a := startLimitedAgent(t, l, newListService(t, newWorkingServers(t, 8)))
				ctx, stop := context.WithCancel(t.Context())
				var all sync.WaitGroup
				var slowest time.Duration
				all.Go(func() { slowest = a.checkReadiness(ctx) })
				began := time.Now()
				failed := burst.send(t, a)
				took := time.Since(began)
				stop()
				all.Wait()
				t.Logf("took %v, slowest readiness check %v, %d failed", took.Round(time.Millisecond), slowest.Round(time.Millisecond), failed)
				if failed > 0 || took > burstLimit || slowest > readinessLimit {
					t.Errorf("got %d failed in %v, readiness checks of %v; want none in %v, %v", failed, took, slowest, burstLimit, readinessLimit)
				}
			})
		}
	}
}

// checkReadiness sends readiness checks over a connection until the context ends, and returns how long the slowest one took.
func (a *limitedAgent) checkReadiness(ctx context.Context) (slowest time.Duration) {
	client := http.Client{Timeout: waitLimit}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		began := time.Now()
		resp, err := client.Get("http://" + a.listen + "/up")
		if err != nil {
			a.t.Error(err)
			return slowest
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			a.t.Errorf("got status %d from a readiness check, want 200", resp.StatusCode)
		}
		slowest = max(slowest, time.Since(began))
		time.Sleep(readinessInterval)
	}
	return slowest
}

// sendPipelines sends many requests at once over a few connections, and returns how many were not served.
func sendPipelines(t *testing.T, a *limitedAgent) (failed int64) {
	var served atomic.Int64
	var all sync.WaitGroup
	for range burstConnections {
		all.Go(func() {
			c, err := dialSound(a.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			var requests strings.Builder
			for range pipelinedRequests {
				requests.WriteString(requestHead("GET", "read", "now", "\r\n"))
			}
			if _, err := io.WriteString(c, requests.String()); err != nil {
				return
			}
			for range pipelinedRequests {
				if readStatus(c.in) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	all.Wait()
	return burstConnections*pipelinedRequests - served.Load()
}

// readStatus reads a response and returns its status, or 0 if there is no whole one.
func readStatus(in *bufio.Reader) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// sendCrowd has as many clients as may connect do so at once, as after an outage, and send some requests. It returns how many
// of these were not served in time.
func sendCrowd(_ *testing.T, a *limitedAgent) (failed int64) {
	var served atomic.Int64
	var all sync.WaitGroup
	clients := a.limits.crowdSize()
	for range clients {
		all.Go(func() {
			c, err := dialSound(a.listen)
			if err != nil {
				return
			}
			defer c.Close()
			for range requestsAfterCrowd {
				began := time.Now()
				head := strings.Replace(requestHead("GET", "read", "work", "\r\n"), "5000m", fmt.Sprintf("%dm", crowdBudget.Milliseconds()), 1)
				if _, err := io.WriteString(c, head); err != nil {
					return
				}
				if readStatus(c.in) == http.StatusOK && time.Since(began) <= crowdBudget {
					served.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int64(clients*requestsAfterCrowd) - served.Load()
}

// sendLongHeads has clients connect at once and send a request with a long head each, and returns how many were not served.
func sendLongHeads(_ *testing.T, a *limitedAgent) (failed int64) {
	var served atomic.Int64
	var all sync.WaitGroup
	for range longHeadClients {
		all.Go(func() {
			c, err := dialSound(a.listen)
			if err != nil {
				return
			}
			defer c.Close()
			head := requestHead("GET", "read", "work", fmt.Sprintf("X-Long: %s\r\n\r\n", strings.Repeat("x", longHeadBytes)))
			if _, err := io.WriteString(c, head); err == nil && readStatus(c.in) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	all.Wait()
	return longHeadClients - served.Load()
}

// sendUploads sends a few long bodies at once, and returns how many were not served.
func sendUploads(_ *testing.T, a *limitedAgent) (failed int64) {
	var served atomic.Int64
	var all sync.WaitGroup
	for range burstUploads {
		all.Go(func() {
			c, err := dialSound(a.listen)
			if err != nil {
				return
			}
			defer c.Close()
			head := requestHead("POST", "write", "now", fmt.Sprintf("Content-Length: %d\r\n\r\n", burstUploadBytes))
			if _, err := io.WriteString(c, head+strings.Repeat("b", burstUploadBytes)); err == nil && readStatus(c.in) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	all.Wait()
	return burstUploads - served.Load()
}
