// Package planner decides which planned work a fleet may do now: it takes a frozen state and returns steps, performs no
// I/O and gives the same steps for the same state.
package planner
