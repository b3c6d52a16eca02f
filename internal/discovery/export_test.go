package discovery

import "net/http"

// Through has a client's calls go through another transport than its own.
func (d *Client) Through(t http.RoundTripper) { d.client.Transport = t }
