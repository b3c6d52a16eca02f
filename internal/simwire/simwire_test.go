package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// clockHex is the clock of all batches made by frame.
const clockHex = "40c06e2000000000"

// frame returns batch 12 with count records, given in hex; spaces are ignored.
func frame(count int, records string) []byte {
	body, err := hex.DecodeString(clockHex + strings.ReplaceAll(strings.ReplaceAll("0000000X", "X", string(rune('0'+count)))+records, " ", ""))
	if err != nil {
		panic(err)
	}
	head := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 12}, uint32(len(body)))
	return append(head, body...)
}

// decodeAll decodes records up to the first error, which is io.EOF for valid data.
func decodeAll(data []byte) (recs []Record, err error) {
	d := NewDecoder(bytes.NewReader(data))
	for {
		if _, _, err = d.Batch(); err != nil {
			return recs, err
		}
		for {
			rec, err := d.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return recs, err
			}
			recs = append(recs, rec)
		}
	}
}

const (
	requestRecord      = "1e 00000003 5d3a91c4 0002 406e000000000000 03 91f03b7c55d20a64 4028000000000000 0001"
	endpointListRecord = "6e 00 00000002 03124a07 00 00 0000 01 3f800000 0000000000000000" +
		" 2c9011f2 01 02 0005 02 3fc00000 40b7d40000000000"
	discoveryRecord = "14 00000003 0000000000000029 02 00"
	settingsJSON    = `{"categories":[{"aim":380,"deadline":949,"credit":8,"effect":"token","dedupScope":"cell",` +
		`"repeatWindow":600,"localitiesOnly":[1],"boundTo":[],"unknown":[1]}],"localities":["x","y"],"limits":{"maxAttempts":6,"idleClose":15000,"cancel":true},"rank":2,"replicasOfMe":3,` +
		`"report":{"fields":["outstanding","backlog","utilization"],"how":"inline"},"discovery":"subscribe",` +
		`"rules":{"extraWindow":5000,"extraFloor":3,"resendRatio":0.2,"coldFrom":0.12,"mustAskIn":10000,"overloadFactor":2.5,"warmAfter":21000},"tick":1.5,` +
		`"accounts":[{"portion":0.34,"allowancePerS":16}],"worthBy":"work","weights":"live"}`
)

// startRecordHex returns the hex of a record that starts instance 3 with seed 7 and the given settings.
func startRecordHex(text string) string {
	n := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	return "0a 00000003 0000000000000007" + hex.EncodeToString(n) + hex.EncodeToString([]byte(text))
}

// A batch of several records decodes to the events in their order, with the settings and load reports of the instance.
func TestDecodeEvents(t *testing.T) {
	recs, err := decodeAll(frame(9, startRecordHex(settingsJSON)+endpointListRecord+discoveryRecord+requestRecord+
		"46 00000003 000000000000004d"+"3c 00000005 0e6f2b19"+
		"32 00000003 5d3a91c4 01 03124a07 1e 4032800000000000 01 03 40e00000 40400000 3f1eb852"+
		"50 00000003 2c9011f2 0a 3ff6666666666666 00"+"5a 00000003 00000002 0004 68692037"))
	if !errors.Is(err, io.EOF) || len(recs) != 7 {
		t.Fatalf("%d records, error %v", len(recs), err)
	}
	s := recs[0].Settings
	want := balancer.Class{Name: s.Classes[0].Name, LatencyObjective: 380 * time.Millisecond, Deadline: 949 * time.Millisecond, PriorityWeight: 8,
		Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupScopeCell, DedupWindow: 600 * time.Millisecond,
		Zones: []int{1}, Kinds: []int{}}
	if recs[0].Kind != Start || recs[0].Seed != 7 || !reflect.DeepEqual(s.Classes[0], want) || s.Rank != 2 || s.Agents != 3 ||
		s.RetryBudgetWindow != 5*time.Second || s.RetryBudgetMin != 3 || s.RetryBudgetRatio != 0.2 || !s.PollEndpoints || s.MaxPollInterval != 10*time.Second || s.SlowStartMinWeight != 0.12 ||
		s.Tick != 1500*time.Microsecond || s.Tenants[0].Quota != 0.34 || s.Reports != balancer.ReportsInline {
		t.Errorf("settings %+v", s)
	}
	l := recs[1].Event
	if l.Update != balancer.EndpointsCached || len(l.Endpoints) != 2 || l.Endpoints[1] != (balancer.Endpoint{
		ID: 0x2c9011f2, Zone: 1, Kind: 2, Cell: 5, State: balancer.Draining, Weight: 1.5, Start: 6100 * time.Millisecond}) {
		t.Errorf("list %+v", l)
	}
	r := recs[2].Event
	if r.Request != 0x5d3a91c4 || r.Tenant != 2 || r.Remaining != 240*time.Millisecond || !r.Retry || r.Class != 1 {
		t.Errorf("request %+v", r)
	}
	o := recs[5].Event
	if o.Attempt != 1 || o.Server != 0x03124a07 || o.Outcome != balancer.OutcomeRejected || !o.Answered || !o.Load.Known ||
		o.Load.InFlight != 7 || o.Load.Queue != 3 || o.Load.ServiceTime >= 0 {
		t.Errorf("outcome %+v", o)
	}
	if p := recs[6].Event; p.Kind != balancer.EventHealthCheck || p.Load.Known {
		t.Errorf("health check %+v", p)
	}
}

// A reply contains its actions in order and their length in its header.
func TestEncodeActions(t *testing.T) {
	var e Encoder
	e.Begin(12)
	for _, a := range []balancer.Action{
		{Kind: balancer.ActionSend, Request: 0x5d3a91c4, Server: 0x03124a07, Timeout: 80 * time.Millisecond},
		{Kind: balancer.ActionSetTimer, Delay: 500 * time.Millisecond, TimerID: 77},
		{Kind: balancer.ActionReject, Request: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond},
		{Kind: balancer.ActionPollEndpoints},
		{Kind: balancer.ActionCancel, Request: 0x5d3a91c4},
		{Kind: balancer.ActionFail, Request: 0x0e6f2b19},
		{Kind: balancer.ActionHealthCheck, Server: 0x2c9011f2},
	} {
		e.Action(3, &a)
	}
	want := strings.ReplaceAll("0000000c 00000081"+
		"46 00000003 5d3a91c4 03124a07 4054000000000000"+"64 00000003 407f400000000000 000000000000004d"+
		"0a 00000003 0e6f2b19 406f400000000000"+"28 00000003 01"+
		"3c 00000003 5d3a91c4 00"+"5a 00000003 0e6f2b19"+"6e 00000003 2c9011f2", " ", "")
	got := hex.EncodeToString(e.Finish())
	if got[16:] != want[16:] || len(got)/2-8 != int(binary.BigEndian.Uint32(e.buf[4:])) {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// The simulator reuses list numbers: an event keeps the list that had its number when the event was read.
func TestEndpointListNumberIsReused(t *testing.T) {
	recs, err := decodeAll(frame(4, endpointListRecord+discoveryRecord+"6e 00 00000000"+discoveryRecord))
	if !errors.Is(err, io.EOF) || len(recs) != 2 || len(recs[0].Event.Endpoints) != 2 || len(recs[1].Event.Endpoints) != 0 {
		t.Fatalf("records %+v, error %v", recs, err)
	}
}

// A malformed batch fails with an error that names the problem and the offset.
func TestDecodeMalformed(t *testing.T) {
	valid := frame(1, requestRecord)
	lengthTooLarge := bytes.Clone(valid)
	lengthTooLarge[7] += 4
	lengthTooSmall := bytes.Clone(valid)
	lengthTooSmall[7] = 3
	clockBackwards := append(bytes.Clone(valid), frame(0, "")...)
	copy(clockBackwards[len(valid)+8:], make([]byte, 8))
	for wantErr, data := range map[string][]byte{
		"truncated header":              valid[:7],
		"truncated batch":               lengthTooLarge,
		"shorter than the header":       lengthTooSmall,
		"clock is not a valid time":     clockBackwards,
		"truncated record":              frame(1, requestRecord[:40]),
		"unknown event code 99":         frame(1, "63 00000003"),
		"after the last record":         frame(1, requestRecord+"00"),
		"more endpoints than the frame": frame(1, "6e 00 ffffffff 03124a07"),
		"list number out of range":      frame(1, "6e 10 00000000"),
		"unknown list mode":             frame(1, "14 00000003 0000000000000029 09 00"),
		"unknown outcome 31":            frame(1, "50 00000003 2c9011f2 1f 3ff6666666666666 00"),
		"unknown server state":          frame(1, "6e 00 00000001 03124a07 00 00 0000 07 3f800000 0000000000000000"),
		"settings: ":                    frame(1, startRecordHex("{")),
		`categories[0].effect "odd"`:    frame(1, startRecordHex(`{"categories":[{"effect":"odd"}]}`)),
		"categories[0].localitiesOnly: 2 is no": frame(1, startRecordHex(`{"localities":["x","y"],"categories":[`+
			`{"effect":"pure","localitiesOnly":[2]}]}`)),
		"categories[0].boundTo: -1 is no": frame(1, startRecordHex(`{"skus":["x"],"categories":[`+
			`{"effect":"pure","boundTo":[-1]}]}`)),
		"boundTo: 0.5 is no":             frame(1, startRecordHex(`{"skus":["x"],"categories":[{"effect":"pure","boundTo":[0.5]}]}`)),
		`report.how "odd" is unknown`:    frame(1, startRecordHex(`{"report":{"how":"odd"}}`)),
		"batch 12, offset 20: truncated": frame(2, ""),
	} {
		if _, err := decodeAll(data); err == nil || !strings.Contains(err.Error(), wantErr) || !strings.Contains(err.Error(), "offset") {
			t.Errorf("got error %v, want one with %q and an offset", err, wantErr)
		}
	}
}

// FuzzDecode checks that decoding any input ends with an error, io.EOF included, and returns at most one record per byte.
func FuzzDecode(f *testing.F) {
	f.Add(frame(1, requestRecord))
	f.Add(frame(3, endpointListRecord+discoveryRecord+startRecordHex(settingsJSON)))
	f.Add(frame(1, "6e 00 ffffffff 03124a07"))
	f.Fuzz(func(t *testing.T, data []byte) {
		recs, err := decodeAll(data)
		if err == nil || len(recs) > len(data) {
			t.Fatalf("%d records of %d bytes, error %v", len(recs), len(data), err)
		}
	})
}
