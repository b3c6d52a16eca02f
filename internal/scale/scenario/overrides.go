package scenario

// Overrides replace values of a file. Nil leaves a value as it is; a pointer to 0 is a 0.
type Overrides struct {
	Agents, Real, Servers, Services, Depth *int
	Relays                                 *int // 0: none, whatever else the file says of them
	Seed                                   *uint64
	ChangesPerMinute                       *float64 // 0: no changes but those of events
	Seconds                                *float64
	CallsPerSecond                         *float64
}

// Override replaces what is not nil, and validates the result. After an error the scenario is as it was.
func (s *Scenario) Override(o Overrides) error {
	next := *s
	setIfGiven(&next.Fleet.Agents, o.Agents)
	setIfGiven(&next.Fleet.Real, o.Real)
	setIfGiven(&next.Fleet.Servers, o.Servers)
	setIfGiven(&next.Fleet.Services, o.Services)
	setIfGiven(&next.Fleet.Depth, o.Depth)
	setIfGiven(&next.Fleet.CallsPerSecond, o.CallsPerSecond)
	setIfGiven(&next.Seed, o.Seed)
	setIfGiven(&next.Seconds, o.Seconds)
	setIfGiven(&next.Control.PerMinute, o.ChangesPerMinute)
	if o.Relays != nil {
		next.Relays.setCount(*o.Relays)
	}
	if o.ChangesPerMinute != nil && *o.ChangesPerMinute == 0 {
		next.Control.ChangesDay = 0 // which would be played otherwise
	}
	if err := next.Validate(); err != nil {
		return err
	}
	*s = next
	return nil
}

// setCount sets the number of relays, which hand out defaultFullListsPerSecond where the file has none.
func (r *Relays) setCount(count int) {
	r.Count = count
	if count == 0 {
		*r = Relays{}
	} else if r.FullListsPerS == 0 {
		r.FullListsPerS = defaultFullListsPerSecond
	}
}

// defaultFullListsPerSecond lets five relays serve 830 agents, the target's, within a second.
const defaultFullListsPerSecond = 200

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
