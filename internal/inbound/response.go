package inbound

import (
	"net/http"
	"strconv"
	"time"

	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
)

// responseWriteTimeout is how long a client may take to read an answer that is held.
const responseWriteTimeout = 5 * time.Second

// rejectBadRequest answers a request that is not well-formed.
func (h *clientHandler) rejectBadRequest(w http.ResponseWriter, bad *badRequestError) {
	h.metrics.BadRequest(bad.reason)
	h.writeResponse(w, dispatch.Response{Status: bad.status, ContentType: "text/plain", Body: []byte(bad.reason + "\n")})
}

// respond writes the respond to a request and counts it.
func (h *clientHandler) respond(x *exchange, a dispatch.Response) {
	h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultOf(a.Status))
	h.closeAfterUpload(x)
	h.writeResponse(x.w, a)
	upload := x.upload()
	if upload != nil && !upload.Complete() && http.NewResponseController(x.w).Flush() == nil {
		h.listener.requestAnswered(x.conn)
		upload.Discard()
	}
}

// closeAfterUpload has the connection close behind the answer if a long body has not come to its end, because the rest of
// it is in the way of a next request.
func (h *clientHandler) closeAfterUpload(x *exchange) {
	if upload := x.upload(); upload != nil && !upload.Complete() {
		x.w.Header().Set("Connection", "close")
	}
}

// respondWithDownload answers a request with a download and counts it by how that ends.
func (h *clientHandler) respondWithDownload(x *exchange, a dispatch.Response) {
	h.closeAfterUpload(x)
	h.writeHead(x.w, a, a.Download.Length())
	err := a.Download.CopyTo(x.r.Context(), x.w, h.buffers)
	if err == nil {
		h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultOK)
		return
	}
	h.metrics.RequestAnswered(x.request.ClassName, metrics.ResultErrors)
	h.metrics.AnswerBroken(false, err)
	// The client has to see that the answer is incomplete, also where only the end of the connection would end it.
	x.conn.reset()
	panic(http.ErrAbortHandler)
}

// writeResponse writes an answer that is held. Whether the connection is to close is decided only now, so that a request that
// began before a drain does not leave a connection open on which the next one crosses the close.
func (h *clientHandler) writeResponse(w http.ResponseWriter, a dispatch.Response) {
	// A client that reads nothing would hold its answer without a limit. The deadline can only fail to be set on a connection
	// that is closed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	h.writeHead(w, a, int64(len(a.Body)))
	// A client that does not read its answer has closed the connection.
	_, _ = w.Write(a.Body)
}

// writeHead writes the head of an answer with a body of so many bytes, or of as many as will come if that is below 0.
func (h *clientHandler) writeHead(w http.ResponseWriter, a dispatch.Response, length int64) {
	header := w.Header()
	// What follows a bad request on its connection is not to be trusted either.
	if h.drain.reason() != nil || a.Status/100 == 4 {
		header.Set("Connection", "close")
	}
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header["Content-Type"] = nil // or net/http guesses one
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
}
