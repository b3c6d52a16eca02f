package simwire

import (
	"errors"
	"fmt"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// record reads one record. ok reports whether the caller must handle the record: endpoint lists are stored in the
// decoder, and peer messages are skipped.
func (d *Decoder) record() (record Record, ok bool) {
	code := eventCode(d.u8())
	if code == eventEndpointList {
		d.endpointList()
		return Record{}, false
	}
	record.Kind = Deliver
	record.Instance = d.u32()
	event := &record.Event
	switch code {
	case eventStart:
		d.start(&record)
	case eventStop:
		record.Kind = Stop
	case eventDiscovery:
		d.discovery(event)
	case eventRequest:
		d.request(event)
	case eventStreaming:
		d.streaming(event)
	case eventOutcome:
		d.attemptOutcome(event, record.Instance)
	case eventClientClosed:
		event.Kind = balancer.EventClientClosed
		event.Request = balancer.RequestID(d.u32())
	case eventTimer:
		event.Kind = balancer.EventTimer
		event.TimerID = balancer.TimerID(d.u64())
	case eventHealthCheck:
		d.healthCheck(event, record.Instance)
	case eventPeerMessage:
		d.peerMessage()
		return Record{}, false
	default:
		d.fail(fmt.Errorf("unknown event code %d", code))
	}
	return record, true
}

func (d *Decoder) start(record *Record) {
	record.Kind = Start
	record.Seed = d.u64()
	text := d.bytes(d.u32())
	if d.err != nil {
		return
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		d.fail(err)
		return
	}
	record.Settings = parsed.Balancer
	d.loadFields[record.Instance] = parsed.ReportFields
}

func (d *Decoder) discovery(event *balancer.Event) {
	event.Kind = balancer.EventDiscovery
	d.skip(8) // version of the list
	update := balancer.DiscoveryUpdate(d.u8())
	list := d.u8()
	event.Update = update
	switch {
	case update > balancer.PollFailed:
		d.fail(errors.New("unknown list mode"))
	case update == balancer.PollFailed: // has no list; its list number is ignored
	case list >= maxEndpointLists:
		d.fail(errors.New("list number out of range"))
	default:
		event.Endpoints = d.lists[list]
	}
}

func (d *Decoder) request(event *balancer.Event) {
	event.Kind = balancer.EventRequest
	event.Request = balancer.RequestID(d.u32())
	event.Tenant = int(d.u16())
	event.Remaining = d.duration()
	flags := d.u8()
	d.skip(8) // subject of the request
	d.skip(8) // expected work
	event.Retry = flags&retryFlag != 0
	event.Class = int(d.u16())
}

func (d *Decoder) streaming(event *balancer.Event) {
	event.Kind = balancer.EventStreaming
	event.Request = balancer.RequestID(d.u32())
	d.skip(8) // time since the attempt was sent
	event.Attempt = int(d.u8())
	event.Server = balancer.ServerID(d.u32())
}

func (d *Decoder) attemptOutcome(event *balancer.Event, instance uint32) {
	event.Kind = balancer.EventOutcome
	event.Request = balancer.RequestID(d.u32())
	event.Attempt = int(d.u8())
	event.Server = balancer.ServerID(d.u32())
	event.Outcome = d.outcome()
	d.skip(8) // time since the attempt was sent
	event.Answered = d.u8() != 0
	event.Load = d.loadReport(instance)
}

func (d *Decoder) healthCheck(event *balancer.Event, instance uint32) {
	event.Kind = balancer.EventHealthCheck
	event.Server = balancer.ServerID(d.u32())
	event.Outcome = d.outcome()
	d.skip(8) // time since the check was sent
	event.Load = d.loadReport(instance)
}

// peerMessage skips a message from another agent, which the balancer does not use.
func (d *Decoder) peerMessage() {
	d.skip(4) // the sender
	d.skip(uint32(d.u16()))
}

// endpointList reads a numbered endpoint list, which replaces any earlier list with that number.
func (d *Decoder) endpointList() {
	number := d.u8()
	n := d.u32()
	if d.err == nil && number >= maxEndpointLists {
		d.fail(errors.New("list number out of range"))
	}
	// The count is checked against the received bytes before memory is allocated for it.
	if d.err == nil && uint64(n)*endpointBytes > uint64(len(d.unread)) {
		d.fail(errors.New("more endpoints than the frame contains"))
	}
	if d.err != nil {
		return
	}
	// Events may still refer to the earlier list, so its memory is not reused.
	list := make([]balancer.Endpoint, n)
	for i := range list {
		list[i] = d.endpoint()
	}
	d.lists[number] = list
}

func (d *Decoder) endpoint() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = balancer.ServerID(d.u32())
	e.Zone = int(d.u8())
	e.Kind = int(d.u8())
	e.Cell = int(d.u16())
	e.State = balancer.EndpointState(d.u8())
	if e.State > balancer.Draining {
		d.fail(errors.New("unknown server state"))
	}
	e.Weight = d.f32()
	e.Start = d.duration()
	return e
}

func (d *Decoder) outcome() balancer.Outcome {
	code := d.u8()
	outcome, ok := outcomeByCode[code]
	if !ok {
		d.fail(fmt.Errorf("unknown outcome %d", code))
	}
	return outcome
}

// loadReport reads a load report. The settings of the instance name its values in order; values without a name are
// skipped.
func (d *Decoder) loadReport(instance uint32) balancer.LoadReport {
	n := int(d.u8())
	report := settings.UnknownLoad()
	names := d.loadFields[instance]
	for i := range n {
		value := d.f32()
		if i < len(names) {
			settings.SetLoadField(&report, names[i], value)
		}
	}
	return report
}
