// Package fleet carries out what planner and jobs decide: it reads the state from the platform's table, plans, and
// writes each step conditionally, so that any number of loops may run at once.
package fleet
