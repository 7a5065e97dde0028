// Package fault decides which fault is injected at which step, for the in-memory platform, the stand-ins and the
// fakes of tests.
package fault
