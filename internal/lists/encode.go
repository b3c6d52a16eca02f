package lists

import (
	"encoding/json"
	"math"
	"strconv"

	"example.org/ryeloft/internal/discovery"
)

const (
	// memberBytes and envelopeBytes are the approximate encoded sizes of a member and of the rest of a list.
	memberBytes   = 160
	envelopeBytes = 64
)

// Encode returns a list, or changes to one, in the JSON format of a discovery response. Numbers that JSON cannot
// represent become 0, which means unknown.
func Encode(revision uint64, complete bool, members []discovery.Member) []byte {
	b := make([]byte, 0, envelopeBytes+memberBytes*len(members))
	b = append(b, `{"revision":`...)
	b = strconv.AppendUint(b, revision, 10)
	b = append(b, `,"complete":`...)
	b = strconv.AppendBool(b, complete)
	b = append(b, `,"members":[`...)
	for i := range members {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendMember(b, &members[i])
	}
	return append(b, `]}`...)
}

func appendMember(b []byte, m *discovery.Member) []byte {
	b = appendString(append(b, `{"id":`...), m.ID)
	b = appendString(append(b, `,"host_port":`...), m.Address)
	b = appendString(append(b, `,"locality":`...), m.Zone)
	b = appendString(append(b, `,"flavor":`...), m.Kind)
	b = strconv.AppendInt(append(b, `,"cell":`...), int64(m.Cell), 10)
	b = appendString(append(b, `,"phase":`...), m.State)
	b = appendNumber(append(b, `,"size":`...), m.Weight)
	b = appendNumber(append(b, `,"up_since_ms":`...), m.StartedAtMillis)
	return append(b, '}')
}

func appendNumber(b []byte, v float64) []byte {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		v = 0
	}
	return strconv.AppendFloat(b, v, 'f', -1, 64)
}

// appendString appends a quoted string. Printable ASCII without quotes or backslashes, as in names and addresses, takes
// the fast path; encoding/json encodes any other string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // any string can be encoded
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
