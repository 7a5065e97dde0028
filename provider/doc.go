// Package provider declares the interfaces of the platform that the system runs on: a transactional table, an object
// store, the list of instances, tasks, and drain and reboot. Each platform is a plug-in that registers itself in Plugins.
package provider
