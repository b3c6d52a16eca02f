package balancer_test

import (
	"fmt"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// One agent, two servers, one request: from the list to the answer.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Agents: 1, MaxAttempts: 3, ColdFrom: 0.3, WarmAfter: 10 * time.Second, OverloadFactor: 2.5,
		Classes: []balancer.Class{{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}},
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
			case balancer.ActSend:
				fmt.Println("send request", a.Request, "with a time-out of about", a.Wait.Round(time.Second))
			case balancer.ActRefuse, balancer.ActFail:
				fmt.Println("answer request", a.Request)
			case balancer.ActTimer:
				// deliver EventTimer with a.Token after a.Wait
			}
		}
	}
	handle(balancer.Event{Kind: balancer.EventList, ListMode: balancer.ListFull,
		Servers: []balancer.ServerEntry{
			{ID: 1, State: balancer.Ready, Weight: 2}, {ID: 2, State: balancer.Ready, Weight: 1},
		}})
	handle(balancer.Event{Kind: balancer.EventRequest, Request: 7, Left: time.Second})
	handle(balancer.Event{Kind: balancer.EventOutcome, Request: 7, Outcome: balancer.OK, Closed: true})
	// Output: send request 7 with a time-out of about 1s
}
