package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"

	"example.org/ryeloft/internal/balancer"
)

const (
	maxListBytes = 4 << 20
	// MaxMembers is the number of members that a list may have.
	MaxMembers = 4096
	// maxMemberTextBytes is the length of the longest id, address, zone or kind of a member.
	maxMemberTextBytes = 256
	// maxStartMillis keeps a start time within what a time.Duration can hold.
	maxStartMillis = 9e12
)

// The protocol's names for the states of an endpoint, as held in Member.State.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateRemoved  = "Gone"
)

var (
	// ErrMalformedList is returned for a response that cannot be used. The next call must request the full list.
	ErrMalformedList = errors.New("malformed endpoint list")
	// ErrTruncatedList is returned for a response that ended early, and for a watch that timed out, whose response may
	// have been sent.
	ErrTruncatedList = errors.New("truncated endpoint list")
)

// Member is one endpoint as discovery reports it. Its JSON tags are the names in the protocol.
type Member struct {
	ID              string
	Address         string `json:"host_port"`
	Zone            string `json:"locality"`
	Kind            string `json:"flavor"`
	Cell            int
	State           string  `json:"phase"` // a protocol name; see EndpointState and Removed
	Weight          float64 `json:"size"`
	StartedAtMillis float64 `json:"up_since_ms"` // Unix time, milliseconds
}

// EndpointState returns the state that m.State names.
func (m *Member) EndpointState() balancer.EndpointState { return endpointStates[m.State] }

// Removed reports whether the member has been removed from the list.
func (m *Member) Removed() bool { return m.State == stateRemoved }

// MarkRemoved marks the member as removed from the list.
func (m *Member) MarkRemoved() { m.State = stateRemoved }

var endpointStates = map[string]balancer.EndpointState{
	stateReady:    balancer.Ready,
	stateDraining: balancer.Draining,
	stateRemoved:  balancer.Removed,
}

// EndpointList is a response of discovery: the full list (Complete), or the changes since a revision. Parse always sets
// Revision.
type EndpointList struct {
	Revision *uint64
	Complete bool
	Members  []Member
}

// Parse parses an endpoint list. It rejects a list with any invalid member as a whole, since a member that was left out
// would look removed. Errors wrap ErrMalformedList and name the member and the field.
func Parse(text []byte) (EndpointList, error) { return parseList(bytes.NewReader(text)) }

// validate returns an error that begins with the name of the invalid field.
func (m *Member) validate() error {
	if m.ID == "" || len(m.ID) > maxMemberTextBytes {
		return fmt.Errorf("id %.40q: want 1 to %d bytes", m.ID, maxMemberTextBytes)
	}
	for _, field := range []struct{ name, value string }{{"host_port", m.Address}, {"locality", m.Zone}, {"flavor", m.Kind}} {
		if len(field.value) > maxMemberTextBytes {
			return fmt.Errorf("%s %.40q: want at most %d bytes", field.name, field.value, maxMemberTextBytes)
		}
	}
	if _, known := endpointStates[m.State]; !known {
		return fmt.Errorf("phase %.40q is unknown", m.State)
	}
	// The condition is written so that NaN is rejected too.
	if !(m.StartedAtMillis >= 0 && m.StartedAtMillis < maxStartMillis) {
		return fmt.Errorf("up_since_ms %v is out of range", m.StartedAtMillis)
	}
	if m.Removed() {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return fmt.Errorf("host_port: %w", err)
	}
	return nil
}
