// Package operator is the operators' side of the system: builders that print a configuration, the HTTP client, and the
// HTTP API server with the storage of submissions.
package operator
