// Package standin holds servers that stand in for outside systems in tests and in the demo: the platform (the protocol
// of platformhttp on top of the memory plug-in) and a worker's backend server. Both inject faults on request.
package standin
