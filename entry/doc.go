// Package entry assembles one entry instance from its settings: callers' and operators' interfaces, routing, limits,
// claims, the control loop and what it shares with other entry instances.
package entry
