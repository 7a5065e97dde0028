// Package fault decides which faults are injected into the in-memory platform, the simulated servers of package standin and
// the fakes of tests. A step is an operation at which a fault can be injected, such as a commit of the table; it is named
// by a string. It has nothing to do with planner.Step and batch.Step.
package fault
