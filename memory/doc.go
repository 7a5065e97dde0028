// Package memory is the platform plug-in that keeps all data in memory. It is the built-in default, holds the data of
// the simulated platform of package standin, and injects faults for tests.
package memory
