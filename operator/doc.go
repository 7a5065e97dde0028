// Package operator holds what operators use to manage a fleet: builders that print a configuration, a client of the
// HTTP API for operators, and the server of that API, which stores the submitted configurations.
package operator
