// Package routing chooses the worker of a pool that runs a request. Readers use only a read-copy-update snapshot and
// atomics. The selection policies are plug-ins.
package routing
