package inbound

import (
	"net/http"
	"strconv"
	"time"

	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
)

// responseWriteTimeout is how long a client may take to read a buffered response.
const responseWriteTimeout = 5 * time.Second

// rejectBadRequest answers a malformed request.
func (h *clientHandler) rejectBadRequest(w http.ResponseWriter, bad *badRequestError) {
	h.metrics.BadRequest(bad.reason)
	h.writeResponse(w, dispatch.Response{Status: bad.status, ContentType: "text/plain", Body: []byte(bad.reason + "\n")})
}

// closeConnection sends the response that has been written and closes the connection. It does not return unless sending fails.
// Where a body has not been read to its end, net/http would keep the goroutine for half a second after the handler returns,
// even if the connection is evicted.
func closeConnection(w http.ResponseWriter) {
	if http.NewResponseController(w).Flush() == nil {
		panic(http.ErrAbortHandler)
	}
}

// respond writes a buffered response to a request and counts it. From then on nothing more of the request's body is read
// for a server.
func (h *clientHandler) respond(x *exchange, response dispatch.Response) {
	upload := x.upload()
	if upload != nil {
		upload.Revoke()
	}
	h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultOf(response.Status))
	h.closeAfterUpload(x)
	h.writeResponse(x.w, response)
	if upload != nil && !upload.Complete() && http.NewResponseController(x.w).Flush() == nil {
		h.listener.requestAnswered(x.conn)
		upload.Discard()
		closeConnection(x.w)
	}
}

// closeAfterUpload makes the connection close after the response if an upload has not been read completely, because the
// rest of it would precede the next request.
func (h *clientHandler) closeAfterUpload(x *exchange) {
	if upload := x.upload(); upload != nil && !upload.Complete() {
		x.w.Header().Set("Connection", "close")
	}
}

// respondWithDownload answers a request with a download, and counts the response by how the download ends.
func (h *clientHandler) respondWithDownload(x *exchange, response dispatch.Response) {
	h.closeAfterUpload(x)
	h.writeHead(x.w, response, response.Download.Length())
	err := response.Download.CopyTo(x.r.Context(), x.w, h.buffers, x.conn.account)
	if err == nil {
		h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultOK)
		return
	}
	h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultErrors)
	h.metrics.ResponseBroken(false, err)
	// The client must detect that the response is incomplete, even if only the end of the connection delimits it.
	x.conn.reset()
	panic(http.ErrAbortHandler)
}

// writeResponse writes a buffered response. Whether the connection closes is decided only now, so that a request that
// began before a drain does not leave a connection open on which the next request races with the close.
func (h *clientHandler) writeResponse(w http.ResponseWriter, response dispatch.Response) {
	// Without the deadline a client that reads nothing would block the response forever. Setting it fails only on a
	// closed connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	h.writeHead(w, response, int64(len(response.Body)))
	// The write fails only if the client has closed the connection or does not read the response.
	_, _ = w.Write(response.Body)
}

// writeHead writes the head of a response whose body has the given length, negative if unknown.
func (h *clientHandler) writeHead(w http.ResponseWriter, response dispatch.Response, length int64) {
	header := w.Header()
	// Whatever follows a bad request on its connection cannot be trusted either.
	if h.drain.reason() != nil || response.Status/100 == 4 {
		header.Set("Connection", "close")
	}
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header["Content-Type"] = nil // keeps net/http from guessing one
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(response.Status)
}
