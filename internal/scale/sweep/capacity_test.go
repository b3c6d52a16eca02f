package sweep

import (
	"errors"
	"io/fs"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	capacityPage = "../../../docs/CAPACITY.md"
	metricsFile  = "../../../deploy/scale/figures.json"
)

// markedNumber matches `12.5 <!-- key -->`, with at most one space between the number and the mark. anyMark matches
// every mark.
var (
	markedNumber = regexp.MustCompile(`(-?[0-9][0-9,]*(?:\.[0-9]+)?) ?<!-- ([a-z][A-Za-z0-9_.-]*\.[A-Za-z0-9_.-]+) -->`)
	anyMark      = regexp.MustCompile(`<!-- [a-z][A-Za-z0-9_.-]*\.[A-Za-z0-9_.-]+ -->`)
)

// TestCapacityPage guards against numbers on the page that differ from the metrics file: every marked number must
// match its metric to the printed precision.
func TestCapacityPage(t *testing.T) {
	text, pageErr := os.ReadFile(capacityPage)
	all, metricsErr := ReadMetrics(metricsFile)
	if errors.Is(pageErr, fs.ErrNotExist) && errors.Is(metricsErr, fs.ErrNotExist) {
		return // neither file exists yet
	}
	if pageErr != nil || metricsErr != nil {
		t.Fatalf("got errors %v and %v for page and metrics file, want none or both missing", pageErr, metricsErr)
	}
	if wrong := checkPage(string(text), all); len(wrong) > 0 {
		t.Error(strings.Join(wrong, "\n"))
	}
}

// checkPage returns a message for each marked number that differs from its metric, for marks without a number,
// and for a page without marks.
func checkPage(text string, all map[string]Metric) []string {
	var wrong []string
	found := markedNumber.FindAllStringSubmatch(text, -1)
	if n := len(anyMark.FindAllString(text, -1)); n != len(found) || n == 0 {
		wrong = append(wrong, strconv.Itoa(n)+" marks, "+strconv.Itoa(len(found))+" of them directly after a number")
	}
	for _, m := range found {
		f, ok := all[m[2]]
		if !ok {
			wrong = append(wrong, m[2]+": not in the metrics file")
			continue
		}
		if !matchesPrinted(m[1], f.Value) {
			wrong = append(wrong, m[2]+": got "+m[1]+" on the page, want "+strconv.FormatFloat(f.Value, 'g', -1, 64))
		}
	}
	return wrong
}

// matchesPrinted reports whether the printed number is the value rounded to the last printed digit. Trailing zeros of
// an integer are significant.
func matchesPrinted(printed string, v float64) bool {
	digits := strings.ReplaceAll(printed, ",", "")
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return false
	}
	step := 1.0
	if _, decimals, found := strings.Cut(digits, "."); found {
		step = math.Pow(10, -float64(len(decimals)))
	}
	return math.Abs(n-v) <= step/2*(1+1e-9)
}

func TestCheckPage(t *testing.T) {
	all := map[string]Metric{"agents.control_bytes.slope": {Value: 1234.56}, "depth.amplification.at_14": {Value: -2.504}}
	for _, c := range []struct {
		name, text string
		ok         bool
	}{
		{"integer", "1,235 <!-- agents.control_bytes.slope --> B", true},
		{"no space", "1235<!-- agents.control_bytes.slope -->", true},
		{"decimals", "1234.6<!-- agents.control_bytes.slope --> and -2.50 <!-- depth.amplification.at_14 -->", true},
		{"rounded wrongly", "1234 <!-- agents.control_bytes.slope -->", false},
		{"sign", "2.50 <!-- depth.amplification.at_14 -->", false},
		{"unknown key", "3 <!-- agents.colour.slope -->", false},
		{"no number before", "many <!-- agents.control_bytes.slope -->", false},
		{"a comment without a key is no mark", "1235 <!-- agents.control_bytes.slope --> <!-- a comment -->", true},
		{"no marks", "nothing", false},
	} {
		if wrong := checkPage(c.text, all); (len(wrong) == 0) != c.ok {
			t.Errorf("%s: got messages %q, want ok %v", c.name, wrong, c.ok)
		}
	}
}
