// Package config holds the configuration that operators submit: its data, its strict decoding with located
// diagnostics, its checks, and the differences between versions.
package config
