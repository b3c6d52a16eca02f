package scenario

// Overrides replace values of a file. A nil field keeps the file's value; a pointer to 0 sets 0.
type Overrides struct {
	Agents, Real, Servers, Services, Depth *int
	Relays                                 *int // 0: no relays, and the other keys of relays are reset
	Seed                                   *uint64
	ChangesPerMinute                       *float64 // 0: only the changes of events
	Seconds                                *float64
	CallsPerSecond                         *float64
}

// Override applies the overrides and validates the result. On error the scenario is unchanged.
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
		next.Control.ChangesDay = 0 // otherwise ChangesPerMinute would return its mean rate
	}
	if err := next.Validate(); err != nil {
		return err
	}
	*s = next
	return nil
}

// setCount sets the number of relays. FullListsPerS is defaultFullListsPerSecond if the file does not set it.
func (r *Relays) setCount(count int) {
	r.Count = count
	if count == 0 {
		*r = Relays{}
	} else if r.FullListsPerS == 0 {
		r.FullListsPerS = defaultFullListsPerSecond
	}
}

// defaultFullListsPerSecond lets five relays send full lists to the target's 830 agents within a second.
const defaultFullListsPerSecond = 200

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
