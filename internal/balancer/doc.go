// Package balancer decides, for one agent of a fleet, where each request goes: which server gets it, with which
// timeout, whether it is retried, hedged, rejected or failed.
//
// A Balancer is a deterministic state machine. It has no clock, starts no goroutine and does no I/O: the caller hands
// it events with the time at which they happened and carries out the actions that Handle returns, in their order.
// Times are durations since any fixed start and must not run backwards; timers are kept by the caller.
//
// A Balancer owns all that the agent has learnt about servers, and the attempts of the requests that are open. It is
// not safe for concurrent use: each agent has one Balancer, and one goroutine that calls it.
package balancer
