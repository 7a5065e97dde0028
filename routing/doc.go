// Package routing chooses the worker of a pool that runs a request. Choosing uses only a read-copy-update snapshot and
// atomics. The selection policies are plug-ins.
package routing
