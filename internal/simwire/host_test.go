package simwire

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// batchFrame returns a batch with clock 0 and the given records.
func batchFrame(batch uint32, count int, records ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, batch)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(records)))
	b = append(b, make([]byte, 8)...)
	b = binary.BigEndian.AppendUint32(b, uint32(count))
	return append(b, records...)
}

// startRecord returns a record that starts instance 1 with seed 0.
func startRecord(settings string) []byte {
	b := append([]byte{10, 0, 0, 0, 1}, make([]byte, 8)...)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(settings))), settings...)
}

// Serve writes one reply per batch, also for a batch without records and for one to an unknown instance.
func TestServeRepliesToEachBatch(t *testing.T) {
	var out bytes.Buffer
	in := bytes.NewReader(append(batchFrame(1, 0), batchFrame(2, 1, 60, 0, 0, 0, 9, 0, 0, 0, 1)...))
	if err := Serve(in, &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0}; !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got %x, want %x", out.Bytes(), want)
	}
}

// An error in a batch, even after records that are valid, must not leave a partial reply on the output.
func TestServeMalformedBatch(t *testing.T) {
	validSettings := `{"categories":[{"aim":300,"deadline":900,"effect":"pure"}],"replicasOfMe":1,"limits":{"maxAttempts":2},` +
		`"rules":{"coldFrom":0.5,"overloadFactor":2}}`
	requestRecord := append([]byte{30, 0, 0, 0, 1, 0, 0, 0, 5, 0, 0, 0x40, 0x6e}, make([]byte, 25)...)
	records := append(startRecord(validSettings), requestRecord...)
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(batchFrame(4, 2, records...)), &out); err != nil || out.Len() <= 8 {
		t.Fatalf("valid batch: got reply %x, error %v; want actions and no error", out.Bytes(), err)
	}
	for wantErr, data := range map[string][]byte{
		"batch 4, offset":     batchFrame(4, 3, append(records, 99)...),
		"MaxAttempts":         batchFrame(4, 1, startRecord(strings.Replace(validSettings, ":2}", ":0}", 1))...),
		"settings":            batchFrame(4, 1, startRecord("nonsense")...),
		"truncated":           batchFrame(4, 3, records...),
		"setting Classes[0":   batchFrame(4, 1, startRecord(strings.Replace(validSettings, "300", "-3", 1))...),
		"(categories[0].aim)": batchFrame(4, 1, startRecord(strings.Replace(validSettings, "300", "-3", 1))...),
	} {
		out.Reset()
		err := Serve(bytes.NewReader(data), &out)
		if err == nil || !strings.Contains(err.Error(), wantErr) || out.Len() != 0 {
			t.Errorf("got %d bytes, error %v; want no bytes, error with %q", out.Len(), err, wantErr)
		}
	}
}

// A panic in a balancer must not end the process: deliver returns its text for the InternalError action.
func TestPanicBecomesInternalError(t *testing.T) {
	var h host
	rec := Record{Kind: Deliver, Event: balancer.Event{Kind: balancer.EventClientClosed}}
	if failure := h.deliver(nil, time.Second, &rec); !strings.HasPrefix(failure, "panic: ") {
		t.Errorf("got %q, want the text of a panic", failure)
	}
}
