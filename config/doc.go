// Package config defines the configuration of a fleet that operators submit: its data types, strict decoding and
// validation with a file, line and JSON path in each diagnostic, the canonical encoding, and the differences between
// versions.
package config
