// Package settings reads the settings of one entry instance: its listen addresses and certificates, its availability
// zone, the platform plug-in, and the addresses of other entry instances.
package settings
