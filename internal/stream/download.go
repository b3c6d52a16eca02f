package stream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"example.org/ryeloft/internal/fairshare"
)

// maxResponsePause is how long a server may pause within a download. Servers that work pause for seconds, and cutting off
// what they still write loses the request; a client that no longer waits closes its connection. So this is long enough
// that only a server that hangs exceeds it, whose response would otherwise occupy two connections forever.
const maxResponsePause = 30 * time.Second

// Download is a response that is too long to be buffered, passed from an attempt to a client's handler, which then owns
// the connection to the server. The handler, or the code that drops the response, calls Finish once. The attempt has no
// goroutine of its own meanwhile, so that a client that reads slowly does not keep its stack.
type Download struct {
	length int64        // negative if unknown
	prefix []byte       // the bytes read before the download was created
	memory *Reservation // of the prefix; whoever calls Finish releases it
	source io.Reader
	conn   ReadDeadliner
	abort  func()
	onEnd  func(error)
	server *fairshare.Account // that reads are charged to
}

// NewDownload returns a download of the given length, negative if unknown, whose prefix has already been read into memory
// that is reserved. The source reads the rest from conn, the connection to the server; abort closes that connection.
func NewDownload(length int64, prefix []byte, memory *Reservation, source io.Reader, conn ReadDeadliner, abort func()) *Download {
	return &Download{
		length: length, prefix: prefix, memory: memory, source: source, conn: conn, abort: abort, onEnd: func(error) {},
	}
}

// OnEnd sets the function that Finish calls with its argument. It must be set before the download is passed on.
func (d *Download) OnEnd(onEnd func(error)) { d.onEnd = onEnd }

// ChargeReads sets the account that reads from the server are charged to. It must be called before the download is passed on.
func (d *Download) ChargeReads(server *fairshare.Account) { d.server = server }

// Length returns the length that the server has declared, or a negative number if it has not.
func (d *Download) Length() int64 { return d.length }

// Finish reports to the attempt how the download ended: nil if it was written to the client completely.
func (d *Download) Finish(err error) {
	d.dropPrefix()
	d.onEnd(err)
}

// dropPrefix releases the prefix. A client may take long to read the rest.
func (d *Download) dropPrefix() {
	d.prefix = nil
	d.memory.Release()
}

// CopyTo copies the response to its client at the client's pace, and calls Finish. It returns the error that
// interrupted the copy, which wraps ErrNotRead if the response could not be written to the client. The context ends
// when the client closes its connection; CopyTo then aborts the download. Writes wait for processor time, and are charged
// to the client's account.
func (d *Download) CopyTo(ctx context.Context, w http.ResponseWriter, buffers *Buffers, client *fairshare.Account) (err error) {
	defer func() { d.Finish(err) }()
	defer context.AfterFunc(ctx, d.abort)()
	// The head is flushed by itself, because that takes more stack than any later write. From here it fits into 8 KiB.
	if err := writeAndFlush(w, nil); err != nil {
		return err
	}
	if err := writeAndFlush(w, d.prefix); err != nil {
		return err
	}
	client.Pause()
	d.dropPrefix()
	buffer, release := restBuffer(buffers)
	defer release()
	for {
		if err := d.conn.SetReadDeadline(time.Now().Add(maxResponsePause)); err != nil {
			return err
		}
		n, err := d.source.Read(buffer)
		d.server.Pause()
		if n > 0 {
			client.Await()
			client.Start()
			if err := writeAndFlush(w, buffer[:n]); err != nil {
				return err
			}
			client.Pause()
			runtime.Gosched() // see the package comment
		}
		if err == io.EOF {
			return d.conn.SetReadDeadline(time.Time{})
		}
		if err != nil && ctx.Err() != nil { // the client has left, and the read was aborted
			return fmt.Errorf("%w: %w", ErrNotRead, context.Cause(ctx))
		}
		if err != nil {
			return fmt.Errorf("reading the rest of a response: %w", err)
		}
	}
}

// restBuffer returns a buffer for the rest of a response, and a function that releases it. It does not wait for a buffer,
// because the client's time is running: if none is spare, a small one serves. Half of them are left for uploads, which are
// rejected without one.
func restBuffer(buffers *Buffers) (buffer []byte, release func()) {
	if buffer = buffers.TryGetSpare(); buffer != nil {
		return buffer, func() { buffers.Put(buffer) }
	}
	return make([]byte, minBufferBytes), func() {}
}

// writeAndFlush writes a piece of a response and flushes it.
func writeAndFlush(w http.ResponseWriter, b []byte) error {
	conn := http.NewResponseController(w)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return notRead(err)
	}
	if _, err := w.Write(b); err != nil {
		return notRead(err)
	}
	if err := conn.Flush(); err != nil {
		return notRead(err)
	}
	return nil
}

// notRead returns the error for a response that could not be written to its client.
func notRead(err error) error { return fmt.Errorf("%w: %w", ErrNotRead, err) }
