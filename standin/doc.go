// Package standin holds test servers that replace outside systems in tests and in the demo: the platform (the protocol of
// platformhttp on top of the memory plug-in, and the users' platform with its store, machines and workers) and a worker's
// backend server. They inject faults on request. In this project such a test server is called a stand-in.
package standin
