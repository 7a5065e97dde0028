// Package planner decides which planned work a fleet may do now: maintenance, moves between pools and the assignment of
// new instances. It computes steps from an immutable State, performs no I/O and returns the same steps for the same
// state.
package planner
