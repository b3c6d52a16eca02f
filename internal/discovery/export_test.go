package discovery

import "net/http"

// SetTransport has a client's calls go through another transport than its own.
func (c *Client) SetTransport(t http.RoundTripper) { c.httpClient.Transport = t }
