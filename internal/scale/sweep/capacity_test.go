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
	page    = "../../../docs/CAPACITY.md"
	figures = "../../../deploy/scale/figures.json"
)

// marked finds `12.5 <!-- key -->`, the mark right behind the number or one space after it; bare finds every mark.
var (
	marked = regexp.MustCompile(`(-?[0-9][0-9,]*(?:\.[0-9]+)?) ?<!-- ([a-z][A-Za-z0-9_.-]*\.[A-Za-z0-9_.-]+) -->`)
	bare   = regexp.MustCompile(`<!-- [a-z][A-Za-z0-9_.-]*\.[A-Za-z0-9_.-]+ -->`)
)

// TestCapacityPage holds every marked number of the page to the figures file, within the number's printed precision.
func TestCapacityPage(t *testing.T) {
	text, errPage := os.ReadFile(page)
	all, errFigures := ReadMetrics(figures)
	if errors.Is(errPage, fs.ErrNotExist) && errors.Is(errFigures, fs.ErrNotExist) {
		return // neither is written yet
	}
	if errPage != nil || errFigures != nil {
		t.Fatalf("the page and the figures file go together: %v, %v", errPage, errFigures)
	}
	if wrong := checkPage(string(text), all); len(wrong) > 0 {
		t.Error(strings.Join(wrong, "\n"))
	}
}

// checkPage says which numbers are not what the figures say. A page with no marked number is wrong as well.
func checkPage(text string, all map[string]Metric) []string {
	var wrong []string
	found := marked.FindAllStringSubmatch(text, -1)
	if n := len(bare.FindAllString(text, -1)); n != len(found) || n == 0 {
		wrong = append(wrong, strconv.Itoa(n)+" marks, "+strconv.Itoa(len(found))+" of them right behind a number")
	}
	for _, m := range found {
		f, ok := all[m[2]]
		if !ok {
			wrong = append(wrong, m[2]+": not in the figures file")
			continue
		}
		if !holds(m[1], f.Value) {
			wrong = append(wrong, m[2]+": the page says "+m[1]+", the figures "+strconv.FormatFloat(f.Value, 'g', -1, 64))
		}
	}
	return wrong
}

// holds says whether a printed number is the value to its last printed digit; trailing zeroes of a whole number count as
// printed.
func holds(printed string, v float64) bool {
	digits := strings.ReplaceAll(printed, ",", "")
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return false
	}
	step := 1.0
	if _, decimals, is := strings.Cut(digits, "."); is {
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
		{"whole", "1,235 <!-- agents.control_bytes.slope --> B", true},
		{"close by", "1235<!-- agents.control_bytes.slope -->", true},
		{"decimals", "1234.6<!-- agents.control_bytes.slope --> and -2.50 <!-- depth.amplification.at_14 -->", true},
		{"rounded wrongly", "1234 <!-- agents.control_bytes.slope -->", false},
		{"sign", "2.50 <!-- depth.amplification.at_14 -->", false},
		{"unknown key", "3 <!-- agents.colour.slope -->", false},
		{"no number before", "many <!-- agents.control_bytes.slope -->", false},
		{"a remark is no mark", "1235 <!-- agents.control_bytes.slope --> <!-- a remark -->", true},
		{"no marks", "nothing", false},
	} {
		if wrong := checkPage(c.text, all); (len(wrong) == 0) != c.ok {
			t.Errorf("%s: %q", c.name, wrong)
		}
	}
}
