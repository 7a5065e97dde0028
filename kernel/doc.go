// Package kernel holds what every process of the system is built on: registries in which plug-ins register
// themselves, and the start and stop order of modules.
package kernel
