// Package memory is the platform plug-in that keeps everything in memory. It is the embedded default, serves the
// stand-in platform, and injects faults for tests.
package memory
