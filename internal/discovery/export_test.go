package discovery

import "net/http"

// SetTransport replaces the transport of a client.
func (c *Client) SetTransport(t http.RoundTripper) { c.httpClient.Transport = t }
