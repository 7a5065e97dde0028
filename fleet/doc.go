// Package fleet is the control loop of the fleet of workers. Each pass reads the state from the platform's table,
// plans with the packages planner and jobs, and commits each step on condition that the rows it was planned on are
// unchanged, so that any number of loops may run at once.
//
// Terms of this package:
//   - A pass is one iteration of a control loop.
//   - A step is one planned change of an instance, a wave or a job, or the reason why planned work waits.
//   - A wave is the rolling maintenance of all instances of a pool. Each instance is drained, rebooted, verified
//     and returned to service, within the availability budget of the pool.
//   - The availability budget of a pool is the number of its workers that may be unavailable at the same time.
//     Planned work and failures use one unit of it for each instance.
//   - The buffer of a pool is the number of workers needed to cover the failures that the configuration declares.
//   - A changes row holds the most recent changes of one zone or of the jobs of one pool. A reader that missed more
//     changes than the row keeps scans all instances or jobs.
package fleet
