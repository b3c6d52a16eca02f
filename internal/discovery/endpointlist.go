package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"example.org/ryeloft/internal/balancer"
)

const (
	maxListBytes     = 4 << 20
	maxMemberIDBytes = 256
	// maxStartMillis keeps a start time within what a time.Duration can hold.
	maxStartMillis = 9e12
)

// The protocol's names of the states of an endpoint, as Member.State holds them.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateRemoved  = "Gone"
)

var (
	// ErrMalformedList is an answer of discovery that cannot be used, after which only the full list will do.
	ErrMalformedList = errors.New("malformed endpoint list")
	// ErrTruncatedList is an answer that broke off, or may have been on its way when its watch was given up.
	ErrTruncatedList = errors.New("truncated endpoint list")
)

// Member is one endpoint as discovery reports it; its json tags map the protocol's names.
type Member struct {
	ID              string
	Address         string `json:"host_port"`
	Zone            string `json:"locality"`
	Kind            string `json:"flavor"`
	Cell            int
	State           string  `json:"phase"` // a name of the protocol; EndpointState and Removed say what it means
	Weight          float64 `json:"size"`
	StartedAtMillis float64 `json:"up_since_ms"` // Unix time, milliseconds
}

// EndpointState is the state that the member's name for it stands for.
func (m *Member) EndpointState() balancer.EndpointState { return endpointStates[m.State] }

// Removed says whether the member has left the list.
func (m *Member) Removed() bool { return m.State == stateRemoved }

// MarkRemoved makes the member one that has left the list.
func (m *Member) MarkRemoved() { m.State = stateRemoved }

var endpointStates = map[string]balancer.EndpointState{
	stateReady:    balancer.Ready,
	stateDraining: balancer.Draining,
	stateRemoved:  balancer.Removed,
}

// EndpointList is an answer of discovery: the full list, or what has changed since a revision. A parsed one has a revision.
type EndpointList struct {
	Revision *uint64
	Complete bool
	Members  []Member
}

// Parse accepts a list as a whole or not at all, since endpoints missing from half of one would be taken for removed. Its errors
// wrap ErrMalformedList and name the member and the field.
func Parse(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	if list.Revision == nil {
		return EndpointList{}, fmt.Errorf("%w: no revision", ErrMalformedList)
	}
	seen := make(map[string]bool, len(list.Members))
	for i := range list.Members {
		member := &list.Members[i]
		if seen[member.ID] {
			return EndpointList{}, fmt.Errorf("%w: members[%d].id %.40q is a duplicate", ErrMalformedList, i, member.ID)
		}
		if err := member.validate(); err != nil {
			return EndpointList{}, fmt.Errorf("%w: members[%d].%w", ErrMalformedList, i, err)
		}
		seen[member.ID] = true
	}
	return list, nil
}

// validate returns an error that begins with the field that cannot be used.
func (m *Member) validate() error {
	if m.ID == "" || len(m.ID) > maxMemberIDBytes {
		return fmt.Errorf("id %.40q", m.ID)
	}
	if _, known := endpointStates[m.State]; !known {
		return fmt.Errorf("phase %.40q", m.State)
	}
	// Written so that NaN is rejected too.
	if !(m.StartedAtMillis >= 0 && m.StartedAtMillis < maxStartMillis) {
		return fmt.Errorf("up_since_ms %v", m.StartedAtMillis)
	}
	if m.Removed() {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return fmt.Errorf("host_port: %w", err)
	}
	return nil
}
