// Package settings holds the settings of one process: its addresses, its availability zone, where it finds the
// platform and other entry instances, and its certificates.
package settings
