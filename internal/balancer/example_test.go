package balancer_test

import (
	"fmt"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// Example runs one agent with two servers and one request, from the endpoint list to the response.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Agents: 1, MaxAttempts: 3, SlowStartMinWeight: 0.3, SlowStartDuration: 10 * time.Second, OverloadFactor: 2.5,
		Classes: []balancer.Class{{LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	var actions []balancer.Action
	handle := func(ev balancer.Event) {
		actions = b.Handle(time.Since(start), ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balancer.ActionSend:
				fmt.Println("send request", a.Request, "with a timeout of about", a.Timeout.Round(time.Second))
			case balancer.ActionReject, balancer.ActionFail:
				fmt.Println("respond to request", a.Request)
			case balancer.ActionSetTimer:
				// deliver EventTimer with a.TimerID after a.Delay
			}
		}
	}
	handle(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced,
		Endpoints: []balancer.Endpoint{
			{ID: 1, State: balancer.Ready, Weight: 2}, {ID: 2, State: balancer.Ready, Weight: 1},
		}})
	handle(balancer.Event{Kind: balancer.EventRequest, Request: 7, Remaining: time.Second})
	handle(balancer.Event{Kind: balancer.EventOutcome, Request: 7, Outcome: balancer.OutcomeOK, Answered: true})
	// Output: send request 7 with a timeout of about 1s
}
