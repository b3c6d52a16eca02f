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

// readBufferBytes holds a common batch whole; batches may reach megabytes.
const readBufferBytes = 1 << 20

// Serve answers the batches of in until its end. A reply is written whole or, after an error, not at all.
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
		reply, err := h.answer(decoder, batch, now)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batch, err)
		}
	}
}

// host owns the instances of this process. They share nothing: each has a Balancer of its own and no other state.
type host struct {
	instances map[uint32]*balancer.Balancer
	encoder   Encoder
	actions   []balancer.Action // of one event, reused
}

func newHost() *host {
	return &host{instances: map[uint32]*balancer.Balancer{}}
}

// answer handles all records of a batch and returns the reply, which lives until the next call.
func (h *host) answer(decoder *Decoder, batch uint32, now time.Duration) ([]byte, error) {
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
		if fault := h.deliver(b, now, record); fault != "" {
			h.encoder.InternalError(record.Instance, fault)
		}
	}
	return nil
}

// deliver hands one event to the balancer of its instance and writes what it answers. A panic is returned as text, because
// the wire has an action that reports it and ends the simulated day; the process has to go on until its input ends.
func (h *host) deliver(b *balancer.Balancer, now time.Duration, record *Record) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	h.actions = b.Handle(now, record.Event, h.actions[:0])
	for i := range h.actions {
		h.encoder.Action(record.Instance, &h.actions[i])
	}
	return ""
}
