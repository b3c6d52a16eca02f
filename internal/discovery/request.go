package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/fairshare"
)

const (
	listPath       = "/discovery/hosts"
	maxHeaderBytes = 4 << 10
	dialTimeout    = time.Second

	// pushTimeout and pollTimeout bound a poll of the discovery service in push and poll mode; in poll mode the service
	// processes calls one after the other. Both leave time for another call before what a hanging call misses counts as
	// notified.
	pushTimeout = balancer.NotifyBoundAfterFailure / 6
	pollTimeout = balancer.NotifyBoundAfterFailure / 2
	// maxPushTimeoutDoublings is how often pushTimeout doubles, up to pollTimeout, after consecutive timeouts.
	maxPushTimeoutDoublings = 2
	// minTimeout is the minimum timeout of a poll at a relay, however little time remains. A poll of the discovery
	// service that failed sooner did not wait for the service.
	minTimeout = 300 * time.Millisecond

	// RelayTimeout bounds a poll of changes at a relay. A watch detects an unresponsive relay after relayWatchWait and
	// watchGrace, and what it missed may be older by RelayMaxStaleness. The rest of NotifyBoundAfterFailure is for the
	// calls that recover the missed changes: a dial to each relay that does not respond either, and one poll.
	RelayTimeout = balancer.NotifyBoundAfterFailure / 6
	// RelayFullListTimeout bounds a poll of the full list at a relay. It is longer than RelayTimeout, since relays
	// limit the rate of full lists.
	RelayFullListTimeout = balancer.NotifyBoundAfterFailure / 3
	// RelayMaxStaleness is how far a relay may lag behind discovery and still answer calls.
	RelayMaxStaleness = balancer.NotifyBoundAfterFailure / 3
	relayWatchWait    = balancer.NotifyBoundAfterFailure / 3
	relayDialTimeout  = balancer.NotifyBoundAfterFailure / 20
)

// rejectedError is returned for a response without a list whose status allows a retry.
type rejectedError struct {
	status     string
	retryAfter time.Duration // 0: not stated
}

func (e rejectedError) Error() string {
	if e.retryAfter == 0 {
		return fmt.Sprintf("endpoint list: status %s", e.status)
	}
	return fmt.Sprintf("endpoint list: status %s, retry after %v", e.status, e.retryAfter)
}

// isRejection reports whether err is a rejection.
func isRejection(err error) bool {
	var rejected rejectedError
	return errors.As(err, &rejected)
}

// statusError returns the error for a response without a list.
func statusError(resp *http.Response) rejectedError {
	rejected := rejectedError{status: resp.Status}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds < balancer.NotifyBoundAfterFailure.Seconds() {
		rejected.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return rejected
}

// relayedKey marks the context of a call to a relay.
type relayedKey struct{}

func newHTTPClient(dial Dial) http.Client {
	return http.Client{
		Transport: &http.Transport{
			// A dial outlives the call that started it and occupies one of the connections until it ends.
			DialContext:            withRelayDialTimeout(dial),
			MaxConnsPerHost:        maxParallelCalls,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// Redirects are not followed: discovery is only at the address that the platform gives.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withRelayDialTimeout limits dials to relays to relayDialTimeout, which leaves time to try the other relays.
func withRelayDialTimeout(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if ctx.Value(relayedKey{}) != nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, relayDialTimeout)
			defer cancel()
		}
		return dial(ctx, network, addr)
	}
}

// withAccount has the reads of connections wait for processor time.
func withAccount(dial Dial, s *fairshare.Scheduler) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return fairshare.NewConn(c, s.Dialed()), nil
	}
}

// request describes one call.
type request struct {
	url     string
	wait    time.Duration // for changes; 0 for a poll
	timeout time.Duration
	relayed bool
}

// newRequest returns a request to the current address, for the full list if no revision is held, else for the changes
// since it.
func (c *Client) newRequest(wait time.Duration) request {
	url := "http://" + c.route.addr() + listPath
	if c.revision != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *c.revision, wait.Milliseconds())
	}
	return request{url: url, wait: wait, timeout: c.timeout(wait), relayed: c.route.atRelay()}
}

// timeout returns the timeout of a call to the current address.
func (c *Client) timeout(wait time.Duration) time.Duration {
	switch {
	case wait > 0:
		return wait + watchGrace
	case c.route.atRelay():
		return c.relayTimeout()
	case c.pollMode():
		return pollTimeout
	default: // a slow service gets more time, or all calls to it would time out
		return min(pushTimeout<<min(c.overload.timeouts, maxPushTimeoutDoublings), pollTimeout)
	}
}

// relayTimeout returns the timeout of a poll of a relay.
func (c *Client) relayTimeout() time.Duration {
	if c.revision == nil {
		return RelayFullListTimeout // with a shorter one the call would lose its place in the relay's queue
	}
	if remaining := c.deadline.remaining(); remaining > 0 {
		return max(minTimeout, min(RelayTimeout, remaining/2)) // half, which leaves time for another poll
	}
	return RelayTimeout
}

// send performs one call.
func (c *Client) send(ctx context.Context, r request) (EndpointList, error) {
	if r.relayed {
		ctx = context.WithValue(ctx, relayedKey{}, true)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		if r.wait > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return EndpointList{}, fmt.Errorf("%w: %w", ErrTruncatedList, err)
		}
		return EndpointList{}, err
	}
	defer resp.Body.Close()
	return readList(resp)
}

// maxRefusalBytes is how much of a response without a list is read, so that its connection can be used again.
const maxRefusalBytes = 64 << 10

// readList reads and parses a response.
func readList(resp *http.Response) (EndpointList, error) {
	if resp.StatusCode != http.StatusOK {
		return EndpointList{}, readRefusal(resp)
	}
	list, err := parseList(resp.Body)
	if err != nil && !errors.Is(err, ErrMalformedList) {
		return EndpointList{}, fmt.Errorf("%w: %w", ErrTruncatedList, err)
	}
	return list, err
}

// readRefusal returns the error for a response without a list.
func readRefusal(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrTruncatedList, err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // such as for a revision unknown to the service
		return fmt.Errorf("%w: status %s", ErrMalformedList, resp.Status)
	}
	return statusError(resp)
}
