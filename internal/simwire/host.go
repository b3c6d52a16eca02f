package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// readBufferBytes is enough for a typical batch; batches may reach megabytes.
const readBufferBytes = 1 << 20

// Serve reads batches from in until its end and writes one reply per batch to out. A reply is written completely or,
// after an error in its batch, not at all.
func Serve(in io.Reader, out io.Writer) error {
	decoder := NewDecoder(bufio.NewReaderSize(in, readBufferBytes))
	h := newHost()
	for {
		batch, now, err := decoder.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.reply(decoder, batch, now)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batch, err)
		}
	}
}

// host owns the instances of this process. Each instance is a separate Balancer; instances share no state.
type host struct {
	instances map[uint32]*balancer.Balancer
	encoder   Encoder
	actions   []balancer.Action // actions of one event; reused
}

func newHost() *host {
	return &host{instances: map[uint32]*balancer.Balancer{}}
}

// reply handles all records of a batch and returns the reply, which is valid until the next call.
func (h *host) reply(decoder *Decoder, batch uint32, now time.Duration) ([]byte, error) {
	h.encoder.Begin(batch)
	for {
		record, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return h.encoder.Finish(), nil
		}
		if err != nil {
			return nil, err
		}
		if err := h.handle(now, &record); err != nil {
			return nil, fmt.Errorf("batch %d: %w", batch, err)
		}
	}
}

func (h *host) handle(now time.Duration, record *Record) error {
	switch record.Kind {
	case Start:
		b, err := balancer.New(record.Settings, record.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", record.Instance, settings.WithKey(err))
		}
		h.instances[record.Instance] = b
	case Stop:
		delete(h.instances, record.Instance)
	case Deliver:
		b := h.instances[record.Instance]
		if b == nil {
			return nil
		}
		if failure := h.deliver(b, now, record); failure != "" {
			h.encoder.InternalError(record.Instance, failure)
		}
	}
	return nil
}

// deliver passes one event to a balancer and encodes the resulting actions. It returns the text of a panic, which the
// wire protocol reports in an action that ends the simulated day. The process must not exit before its input ends.
func (h *host) deliver(b *balancer.Balancer, now time.Duration, record *Record) (failure string) {
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Sprint("panic: ", p)
		}
	}()
	h.actions = b.Handle(now, record.Event, h.actions[:0])
	for i := range h.actions {
		h.encoder.Action(record.Instance, &h.actions[i])
	}
	return ""
}
