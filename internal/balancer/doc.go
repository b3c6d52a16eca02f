// Package balancer makes the load-balancing decisions of one agent in a fleet: which server each request is sent to
// and with which timeout, and whether the request is retried, hedged, rejected or failed.
//
// # Events and actions
//
// A Balancer is a deterministic state machine. The caller passes it events with the time at which they happened and
// carries out the actions that Handle returns, immediately and in order. Every EventRequest gets exactly one final
// response (a server's response, an ActionReject or an ActionFail), unless its client closes the connection first. The
// caller must report exactly one EventOutcome for every ActionSend, and one EventTimer for every ActionSetTimer after
// its delay; the caller keeps the timers.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are durations since an arbitrary fixed start
// and must not run backwards. Random numbers depend only on the seed, so the same events produce the same actions.
// Reordering random draws or floating-point operations therefore changes decisions.
//
// A Balancer owns everything the agent has learned about servers, and the attempts of the open requests. It is not
// safe for concurrent use: each agent has one Balancer and one goroutine that calls it.
//
// # Request flow
//
// A request is shed, or it picks a pair of servers from the candidate set of its class and is sent to the less loaded
// of the two. If the pair is overloaded, or more loaded than usual, the request picks again, up to maxPicks times in
// total. A failed attempt is retried while idempotency, the latency objective and the retry budget allow it, and an
// attempt without a response is hedged on another server under the same limits. A request without a server's response
// is rejected if a retry by the client is harmless, and failed otherwise.
//
// Most of this follows the line variant of the policy for unequal speeds by He and Down; docs/design.md lists the
// exceptions and when each applies.
//
// # Files
//
//   - balancer.go: the state of a Balancer, new settings, and Handle, which dispatches each event to its handler
//   - events.go, actions.go, settings.go: the API types, and the validation of settings
//   - endpoints.go: the endpoint list and server restarts
//   - loadreports.go: the servers' load reports, and the health checks that request them
//   - speed.go: learned speeds of servers and machine kinds
//   - sums.go: weighted picks, moving averages and event histories
//   - candidates.go: the servers that a class picks from, and the weights of pairs
//   - locality.go: how much traffic goes to servers in other zones
//   - pick.go: picking a pair, choosing its less loaded server, and overload checks
//   - slowstart.go: how much traffic goes to servers that are warming up
//   - outliers.go: failures and silence, ejection and readmission
//   - admission.go: load shedding, tenant quotas and Retry-After
//   - attempts.go: whether a request may be sent, retried or hedged, and how it ends
//   - polling.go: when to poll the endpoint list
//   - timers.go: the layout of timer ids
package balancer
