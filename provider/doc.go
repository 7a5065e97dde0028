// Package provider declares what the system needs of the platform that it runs on: a transactional table, an object
// store, the list of instances, tasks, and drain and reboot. Each platform is a plug-in that registers itself.
package provider
