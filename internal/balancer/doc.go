// Package balancer decides, for one agent of a fleet, where each request goes: which server it is sent to and with
// which timeout, and whether it is retried, hedged, rejected or failed.
//
// # Events in, actions out
//
// A Balancer is a deterministic state machine. The caller hands it events with the time at which they happened, and
// carries out the actions that Handle returns, at once and in their order. Every request that an EventRequest brings
// is owed one final answer: that of a server, an ActionReject or an ActionFail. Every ActionSend is owed one
// EventOutcome, and every ActionSetTimer an EventTimer after its delay; the caller keeps the timers.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are durations since any fixed start and
// must not run backwards. Random numbers come from the seed alone, so that the same events lead to the same actions.
// A change of the order in which they are drawn, or of floating-point operations, is a change of decisions.
//
// A Balancer owns all that the agent has learned about servers, and the attempts of the open requests. It is not safe
// for concurrent use: each agent has one Balancer and one goroutine that calls it.
//
// # The way of a request
//
// A request is shed, or it picks a pair of servers from the candidate set of its class and is sent to the less
// loaded of the two. A pair that is overloaded, or more loaded than usual, is picked anew, maxPicks times in all. An
// attempt without an answer is retried elsewhere as long as idempotency, the latency objective and the retry budget
// allow it, and hedged while it is silent. A request that no server answers is rejected if the client's own retry is
// harmless, and failed otherwise.
//
// Most of this follows the line variant of the policy for unequal speeds by He and Down; docs/design.md lists the
// exceptions and when each acts.
//
// # Where each decision is found
//
//   - balancer.go: the state of a Balancer, new settings, and Handle, which hands each event to its concern
//   - events.go, actions.go, settings.go: the vocabulary, and the validation of settings
//   - endpoints.go: the endpoint list, and servers that restart
//   - loadreports.go: servers' reports of their load, and health checks that ask for them
//   - speed.go: learned speeds of servers and kinds of machine
//   - sums.go: weighted picks, moving averages and histories
//   - candidates.go: the servers that a class picks from, and the weights of pairs
//   - locality.go: how much servers in other zones are used
//   - pick.go: the pair, the less loaded server of it, and whether that is overloaded
//   - slowstart.go: how much is sent to servers that warm up
//   - outliers.go: failures and silence, ejection and readmission
//   - admission.go: load shedding, tenants' quotas and Retry-After
//   - attempts.go: whether a request may be sent, retried or hedged, and how it ends
//   - polling.go: when to poll the endpoint list
//   - timers.go: what the id of a timer holds
package balancer
