package simwire

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// Each event layout of the wire protocol decodes to the right fields.
func TestDecodeEventBytes(t *testing.T) {
	event := func(ev balancer.Event) Record { return Record{Kind: Deliver, Instance: 3, Event: ev} }
	unknownLoad := settings.UnknownLoad()
	endpoints := []balancer.Endpoint{
		{ID: 0x03124a07, State: balancer.Ready, Weight: 1},
		{ID: 0x2c9011f2, Zone: 1, Kind: 2, Cell: 5, State: balancer.Draining, Weight: 1.5, Start: 6100 * time.Millisecond},
	}
	for name, c := range map[string]struct {
		count   int
		records string
		want    []Record
	}{
		"start": {1, startRecordHex(`{"tick":1.5}`),
			[]Record{{Kind: Start, Instance: 3, Seed: 7, Settings: balancer.Settings{Zone: -1, Tick: 1500 * time.Microsecond}}}},
		"stop":          {1, "64 00000005", []Record{{Kind: Stop, Instance: 5}}},
		"endpoint list": {1, endpointListRecord, nil},
		"discovery, changed": {2, endpointListRecord + "14 00000003 0000000000000029 00 00",
			[]Record{event(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsChanged, Endpoints: endpoints})}},
		"discovery, replaced": {2, endpointListRecord + "14 00000003 0000000000000029 01 00",
			[]Record{event(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: endpoints})}},
		"discovery, cached": {2, endpointListRecord + "14 00000003 0000000000000029 02 00",
			[]Record{event(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsCached, Endpoints: endpoints})}},
		"discovery, highest list number": {2, "6e 0f 00000001 03124a07 00 00 0000 01 3f800000 0000000000000000" + "14 00000003 0000000000000029 02 0f",
			[]Record{event(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsCached, Endpoints: endpoints[:1]})}},
		"discovery, poll failed": {1, "14 00000003 0000000000000029 03 ff",
			[]Record{event(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.PollFailed})}},
		"request": {1, "1e 00000003 5d3a91c4 0002 406e000000000000 05 91f03b7c55d20a64 4028000000000000 0001",
			[]Record{event(balancer.Event{Kind: balancer.EventRequest, Request: 0x5d3a91c4, Tenant: 2, Class: 1, Remaining: 240 * time.Millisecond})}},
		"request, retry": {1, "1e 00000003 5d3a91c4 0000 406e000000000000 02 0000000000000000 0000000000000000 0000",
			[]Record{event(balancer.Event{Kind: balancer.EventRequest, Request: 0x5d3a91c4, Retry: true, Remaining: 240 * time.Millisecond})}},
		"streaming": {1, "28 00000003 5d3a91c4 4032800000000000 01 03124a07",
			[]Record{event(balancer.Event{Kind: balancer.EventStreaming, Request: 0x5d3a91c4, Attempt: 1, Server: 0x03124a07})}},
		"outcome": {1, "32 00000003 5d3a91c4 02 03124a07 0a 4032800000000000 01 00",
			[]Record{event(balancer.Event{Kind: balancer.EventOutcome, Request: 0x5d3a91c4, Attempt: 2, Server: 0x03124a07, Answered: true, Load: unknownLoad})}},
		"client closed": {1, "3c 00000003 0e6f2b19", []Record{event(balancer.Event{Kind: balancer.EventClientClosed, Request: 0x0e6f2b19})}},
		"timer":         {1, "46 00000003 010000000000004d", []Record{event(balancer.Event{Kind: balancer.EventTimer, TimerID: 0x010000000000004d})}},
		"health check": {1, "50 00000003 2c9011f2 28 3ff6666666666666 00",
			[]Record{event(balancer.Event{Kind: balancer.EventHealthCheck, Server: 0x2c9011f2, Outcome: balancer.OutcomeTimeout, Load: unknownLoad})}},
		"peer message": {1, "5a 00000003 00000002 0004 68692037", nil},
	} {
		if got, err := decodeAll(frame(c.count, c.records)); !errors.Is(err, io.EOF) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: error %v\ngot  %+v\nwant %+v", name, err, got, c.want)
		}
	}
}

// Load report values get their meaning from the instance's settings, in outcomes and in health checks alike.
func TestDecodeLoadReportBytes(t *testing.T) {
	start := startRecordHex(`{"report":{"fields":["recent_ms","utilization","outstanding"],"how":"inline"}}`)
	load := balancer.LoadReport{Known: true, InFlight: 7, Queue: -1, ServiceTime: 3 * time.Millisecond}
	const report = "04 40400000 3f1eb852 40e00000 41000000" // one value more than the settings name
	recs, err := decodeAll(frame(3, start+"32 00000003 5d3a91c4 00 03124a07 0a 4032800000000000 00"+report+
		"50 00000003 2c9011f2 0a 3ff6666666666666"+report))
	if !errors.Is(err, io.EOF) || len(recs) != 3 {
		t.Fatalf("%d records, error %v", len(recs), err)
	}
	for _, rec := range recs[1:] {
		if rec.Event.Load != load {
			t.Errorf("got %+v, want load %+v", rec.Event, load)
		}
	}
}

// Each outcome code decodes to its outcome, in attempts and in health checks alike.
func TestDecodeOutcomeBytes(t *testing.T) {
	for code, want := range map[string]balancer.Outcome{
		"0a": balancer.OutcomeOK, "14": balancer.OutcomeError, "1e": balancer.OutcomeRejected, "28": balancer.OutcomeTimeout,
		"32": balancer.OutcomeConnectFailed, "3c": balancer.OutcomeReset, "46": balancer.OutcomeCancelled, "50": balancer.OutcomeExpired,
	} {
		recs, err := decodeAll(frame(2, "32 00000003 5d3a91c4 02 03124a07"+code+"4032800000000000 00 00"+"50 00000003 2c9011f2"+code+"3ff6666666666666 00"))
		if !errors.Is(err, io.EOF) || len(recs) != 2 || recs[0].Event.Outcome != want || recs[1].Event.Outcome != want {
			t.Errorf("code %s: got %+v, error %v; want outcome %v in both", code, recs, err, want)
		}
	}
}

// Each action encodes to the exact bytes of the wire protocol, with a text truncated to 400 bytes.
func TestEncodeActionBytes(t *testing.T) {
	long := strings.Repeat("x", 401)
	for _, c := range []struct {
		action balancer.Action
		want   string
	}{
		{balancer.Action{Kind: balancer.ActionSend, Request: 0x5d3a91c4, Server: 0x03124a07, Timeout: 80 * time.Millisecond, DispatchWithin: time.Second},
			"46 00000003 5d3a91c4 03124a07 4054000000000000"},
		{balancer.Action{Kind: balancer.ActionSend, Request: 1, Server: 2, Timeout: -time.Millisecond}, "46 00000003 00000001 00000002 bff0000000000000"},
		{balancer.Action{Kind: balancer.ActionReject, Request: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond}, "0a 00000003 0e6f2b19 406f400000000000"},
		{balancer.Action{Kind: balancer.ActionReject, Request: 0x0e6f2b19}, "0a 00000003 0e6f2b19 0000000000000000"},
		{balancer.Action{Kind: balancer.ActionFail, Request: 0x0e6f2b19}, "5a 00000003 0e6f2b19"},
		{balancer.Action{Kind: balancer.ActionCancel, Request: 0x5d3a91c4, Attempt: 2}, "3c 00000003 5d3a91c4 02"},
		{balancer.Action{Kind: balancer.ActionSetTimer, Delay: 500 * time.Millisecond, TimerID: 77}, "64 00000003 407f400000000000 000000000000004d"},
		{balancer.Action{Kind: balancer.ActionHealthCheck, Server: 0x2c9011f2}, "6e 00000003 2c9011f2"},
		{balancer.Action{Kind: balancer.ActionPollEndpoints}, "28 00000003 01"},
		{balancer.Action{Kind: balancer.ActionLog, Text: "two servers known"}, "14 00000003 0011 74776f2073657276657273206b6e6f776e"},
		{balancer.Action{Kind: balancer.ActionLog, Text: long}, "14 00000003 0190" + hex.EncodeToString([]byte(long[:400]))},
	} {
		var e Encoder
		e.Begin(12)
		e.Action(3, &c.action)
		if got, want := hex.EncodeToString(e.Finish()), replyFrame(c.want); got != want {
			t.Errorf("action %+v\ngot  %s\nwant %s", c.action, got, want)
		}
	}
	var e Encoder
	e.Begin(12)
	e.InternalError(3, "panic: x")
	if got, want := hex.EncodeToString(e.Finish()), replyFrame("1e 00000003 0008 70616e69633a2078"); got != want {
		t.Errorf("internal error\ngot  %s\nwant %s", got, want)
	}
	e.Begin(12)
	if got, want := hex.EncodeToString(e.Finish()), replyFrame(""); got != want {
		t.Errorf("empty reply\ngot  %s\nwant %s", got, want)
	}
}

// replyFrame returns the hex of the reply to batch 12 with the given records in hex; spaces are ignored.
func replyFrame(records string) string {
	records = strings.ReplaceAll(records, " ", "")
	return fmt.Sprintf("0000000c%08x%s", len(records)/2, records)
}
