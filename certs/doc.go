// Package certs gives TLS configurations for servers and clients whose certificates and keys are read again when
// their files change, so that a renewal needs no restart.
package certs
