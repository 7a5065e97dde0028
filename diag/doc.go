// Package diag collects numbered diagnostics that name the file, line and JSON path they are about, so that one run
// reports every fault of an input.
package diag
