// Package daemon assembles one instance that runs on the users' platform: it answers callers, follows the platform's
// store, and owns pools and the machines as long as no other instance does.
package daemon
