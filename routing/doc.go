// Package routing decides which worker of a pool runs a request. Readers use a read-copy-update snapshot and atomics
// only; policies are plug-ins.
package routing
