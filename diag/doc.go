// Package diag defines numbered diagnostics with a file, line and JSON path, and lists of them, so that all errors of an
// input are reported together.
package diag
