// Package door guards the addresses of an instance against clients that do not keep to the limits of the interface: it bounds connections, headers,
// the memory for bodies and the time that each of them may take.
package door
