// Package kernel provides the base of every process of the system: registries in which plug-ins register themselves,
// and a runner that starts and stops the modules of a process in order.
package kernel
