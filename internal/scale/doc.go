// Package scale holds no code: its subpackages play a fleet of agents on one machine's loopback, as command scale runs it.
//
//	scenario    what is played: a TOML file of sizes, costs, budgets and events
//	world       the fleet that a scenario draws from its seed, and the steps of its events
//	run         one run: starts the parts, plays the steps, collects the results, checks the budgets
//	role        the parts as processes of their own, and calls to them
//	control     parts: the platform's discovery, and relays
//	simagent    part: simulated agents, with modelled servers and applications
//	realagent   real agents as processes, with which simulated ones are compared
//	result      what a run measured
//	sweep       runs at several sizes, and how each metric grows
//
// The packages meter, parallel, procstat and textwriter are their tools. Imports go from run, sweep and the parts down to
// world, scenario and result.
package scale
