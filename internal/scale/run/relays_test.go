package run

import (
	"reflect"
	"testing"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/result"
)

func TestAddShifted(t *testing.T) {
	for _, c := range []struct {
		name     string
		to, more [][]int64
		from     int
		want     [][]int64
	}{
		{"from the start", [][]int64{{1, 2}, {3}}, [][]int64{{10, 20}, {30, 40}}, 0, [][]int64{{11, 22}, {33, 40}}},
		{"a later incarnation", [][]int64{{1, 2}, {3}}, [][]int64{{10, 20}, {0, 0, 5}}, 1, [][]int64{{1, 12, 20}, {3, 0, 0, 5}}},
		{"fewer agents", [][]int64{{1}, {2}}, [][]int64{{10}}, 0, [][]int64{{11}, {2}}},
		{"no agents to add to", nil, [][]int64{{1}}, 0, nil},
	} {
		if got := addShifted(c.to, c.more, c.from); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAddAcknowledgements checks that the earliest acknowledgement of an agent counts, at control or any relay.
func TestAddAcknowledgements(t *testing.T) {
	changes := []control.ChangeNotification{{Revision: 5, AcknowledgedAt: []int64{100, 0, 0, 7}}, {Revision: 6, AcknowledgedAt: []int64{0, 0, 0, 7}}}
	mark := func(revision uint64, at int64) control.Acknowledgement {
		return control.Acknowledgement{Revision: revision, At: at}
	}
	addAcknowledgements(changes, [][]control.Acknowledgement{
		{mark(4, 10), mark(6, 50)}, // acknowledges both revisions, earlier than at control
		{mark(5, 20)},
		nil,
		{mark(6, 9)},
		{mark(6, 9)}, // not an agent at control
	})
	want := []control.ChangeNotification{{Revision: 5, AcknowledgedAt: []int64{50, 20, 0, 7}}, {Revision: 6, AcknowledgedAt: []int64{50, 0, 0, 7}}}
	if !reflect.DeepEqual(changes, want) {
		t.Errorf("got %+v, want %+v", changes, want)
	}
}

// TestSumRelayCounts checks that counts of a relay's incarnations add up and that rates are the maximum.
func TestSumRelayCounts(t *testing.T) {
	incarnation := func(calls int64, worst float64) relayCounts {
		return relayCounts{stats: control.RelayStats{Machine: result.ControlMachine{Role: "relay", Name: "r", Calls: calls, FullLists: 1, Worst6s: worst}}}
	}
	got := sumRelayCounts([]relayCounts{incarnation(10, 0.5), incarnation(5, 0.2)})
	if got.Name != "r" || got.Calls != 15 || got.FullLists != 2 || got.Worst6s != 0.5 {
		t.Errorf("got %+v, want relay r with 15 calls, 2 full lists and a worst window of 0.5", got)
	}
	if got := sumRelayCounts(nil); got != (result.ControlMachine{}) {
		t.Errorf("no incarnation: got %+v, want the zero value", got)
	}
}
