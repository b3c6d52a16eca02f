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
)

const (
	listPath       = "/discovery/hosts"
	maxHeaderBytes = 32 << 10
	dialTimeout    = time.Second

	// pushTimeout and pollTimeout bound a poll of discovery itself in the two modes; in poll mode calls are worked through in
	// turn. Both leave time for another call before what a hanging one misses counts as notified.
	pushTimeout = balancer.NotifyBoundAfterFailure / 6
	pollTimeout = balancer.NotifyBoundAfterFailure / 2
	// maxPushTimeoutDoublings is how often pushTimeout doubles, up to pollTimeout, after timeouts in a row.
	maxPushTimeoutDoublings = 2
	// minTimeout is for a poll that has to make up for other calls. One that failed sooner did not wait for the service.
	minTimeout = 300 * time.Millisecond

	// RelayTimeout bounds a poll of changes at a relay. A watch at a relay that falls silent shows after relayWatchWait and
	// watchGrace, and what it missed may be older by RelayMaxStaleness; what is left of NotifyBoundAfterFailure is for the calls that
	// make up for it: a dial to each relay that is just as silent, and one poll.
	RelayTimeout = balancer.NotifyBoundAfterFailure / 6
	// RelayFullListTimeout bounds a poll of the full list at a relay, which hands those out at a stated rate.
	RelayFullListTimeout = balancer.NotifyBoundAfterFailure / 3
	// RelayMaxStaleness is how far behind discovery a relay may be that still answers.
	RelayMaxStaleness = balancer.NotifyBoundAfterFailure / 3
	relayWatchWait    = balancer.NotifyBoundAfterFailure / 3
	relayDialTimeout  = balancer.NotifyBoundAfterFailure / 20
)

// rejectedError is an answer that brings no list and says that the call may be repeated.
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

// isRejection says whether a call was rejected.
func isRejection(err error) bool {
	var rejected rejectedError
	return errors.As(err, &rejected)
}

// statusError is the error of an answer that brings no list.
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
			// A dial outlives the call that wanted it and occupies one of the connections until it ends.
			DialContext:            withRelayDialTimeout(dial),
			MaxConnsPerHost:        maxParallelCalls,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// Discovery is at the address that the platform gives and nowhere else.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withRelayDialTimeout gives up a dial to a relay that does not respond while there is time for the others.
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

// request is one call as it is to be made.
type request struct {
	url     string
	wait    time.Duration // for changes; 0 for a poll
	timeout time.Duration
	relayed bool
}

// newRequest asks the present address for the full list if no revision is held, else for what has changed.
func (c *Client) newRequest(wait time.Duration) request {
	url := "http://" + c.route.addr() + listPath
	if c.revision != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *c.revision, wait.Milliseconds())
	}
	return request{url: url, wait: wait, timeout: c.timeout(wait), relayed: c.route.atRelay()}
}

// timeout is how long a call to the present address may take.
func (c *Client) timeout(wait time.Duration) time.Duration {
	switch {
	case wait > 0:
		return wait + watchGrace
	case c.route.atRelay():
		return c.relayTimeout()
	case c.pollMode():
		return pollTimeout
	default: // a slow service gets longer, lest all calls time out for good
		return min(pushTimeout<<min(c.overload.timeouts, maxPushTimeoutDoublings), pollTimeout)
	}
}

// relayTimeout is how long a poll of a relay may take.
func (c *Client) relayTimeout() time.Duration {
	if c.revision == nil {
		return RelayFullListTimeout // a shorter one would lose its turn there
	}
	if remaining := c.deadline.remaining(); remaining > 0 {
		return max(minTimeout, min(RelayTimeout, remaining/2)) // half, so that there may be one more
	}
	return RelayTimeout
}

// send makes one call.
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

// readList reads an answer.
func readList(resp *http.Response) (EndpointList, error) {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return EndpointList{}, fmt.Errorf("%w: %w", ErrTruncatedList, err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // as for a revision that it does not know
		return EndpointList{}, fmt.Errorf("%w: status %s", ErrMalformedList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return EndpointList{}, statusError(resp)
	case len(text) > maxListBytes:
		return EndpointList{}, fmt.Errorf("%w: over %d bytes", ErrMalformedList, maxListBytes)
	}
	return Parse(text)
}
