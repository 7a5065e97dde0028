package pool

// gang is the state that the tasks of a gang have in common.
type gang struct {
	// failedRun is the number of the newest run that counts as failed.
	failedRun int
}

// countFailure reports whether the failure of a member of the given run counts: a run of a gang fails once, however many of its
// members fail.
func (g *gang) countFailure(run int) bool {
	if run <= g.failedRun {
		return false
	}
	g.failedRun = run
	return true
}
