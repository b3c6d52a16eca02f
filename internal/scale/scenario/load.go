package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// defaults returns the values of optional keys. The name, the sizes, the call rate and the length have no defaults.
func defaults() Scenario {
	return Scenario{
		Seed: 1,
		Fleet: Fleet{
			Regions: 1, Zones: 1, Racks: 1,
			ServiceMS: 8, Slots: 2, QueueSlots: 16,
			NetworkMS: 0.15, CrossMS: 0.6, RegionMS: 3,
			SlowStartMinWeight: 0.4, SlowStartS: 8,
			DrainS: 6, BootS: 1,
		},
		Agent: Agent{
			MemoryMB: 192, Sockets: 1024, MaxAttempts: 3,
			RetryBudgetRatio: 0.1, RetryBudgetMin: 3, RetryBudgetWindowS: 10,
			MaxPollIntervalS: 10,
		},
		Control: Control{Machines: 1, Parallel: 1, RejectMS: 1000, Log: 256, NoticeMS: 500},
		Budgets: Budgets{AddedSamples: 1000},
	}
}

// defaultClasses are the classes of a file without any.
var defaultClasses = []Class{
	{Name: "read", Share: 0.6, Idempotency: Idempotent, LatencyObjectiveMS: 400, DeadlineMS: 2000, PriorityWeight: 1},
	{Name: "keyed", Share: 0.3, Idempotency: IdempotentWithKey, LatencyObjectiveMS: 400, DeadlineMS: 2000, DedupWindowMS: 30000, PriorityWeight: 2},
	{Name: "once", Share: 0.1, Idempotency: NonIdempotent, LatencyObjectiveMS: 400, DeadlineMS: 2000, PriorityWeight: 3},
}

// Load reads and validates a file. Its errors name the file and the invalid field.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the scenario: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// Parse parses and validates the text of a file. Unknown keys are errors, because a misspelt key would otherwise
// silently leave the default in place.
func Parse(text []byte) (*Scenario, error) {
	s := defaults()
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return nil, explainDecodeError(err)
	}
	if len(s.Classes) == 0 {
		s.Classes = append([]Class(nil), defaultClasses...)
	}
	return &s, s.Validate()
}

// explainDecodeError adds the keys and lines that are missing in the texts of the decoder's errors.
func explainDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			all = append(all, fmt.Errorf("%s: unknown key in line %d", strings.Join(unknown.Errors[i].Key(), "."), line))
		}
		return errors.Join(all...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return fmt.Errorf("line %d, %s: %w", line, strings.Join(bad.Key(), "."), err)
	}
	return err
}

// Agents returns the number of agents in the fleet. If the file does not set it, it is the number of servers.
func (s *Scenario) Agents() int {
	if s.Fleet.Agents == 0 {
		return s.Fleet.Servers
	}
	return s.Fleet.Agents
}

// ChangesPerMinute returns the rate of configuration changes in the run, in addition to those of events.
func (s *Scenario) ChangesPerMinute() float64 {
	if s.Control.PerMinute > 0 {
		return s.Control.PerMinute
	}
	return s.Control.ChangesDay / (24 * 60)
}
