// Package scale contains no code. Its subpackages implement the command scale, which runs a fleet of agents on the
// loopback interface of one machine.
//
//	scenario    the input of a run: a TOML file of sizes, costs, budgets and events
//	world       the fleet generated from the scenario's seed, and the steps of its events
//	run         one run: starts the processes, applies the steps, collects the results, checks the budgets
//	role        starts child processes and calls them
//	control     child processes: the stand-in for the platform's discovery, and relays
//	simagent    child process: simulated agents with modelled servers and applications
//	realagent   real agents as processes, with which the simulated agents are compared
//	result      the measurements of a run
//	sweep       runs at several sizes and the growth of each metric
//
// These packages share the helper packages meter, parallel, procstat and textwriter. Packages run, sweep and those of
// the processes import world, scenario and result, not the other way round.
package scale
