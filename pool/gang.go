package pool

// gang is the state that the tasks of a gang have in common.
type gang struct {
	// failedRun is the number of the newest run that counts as failed.
	failedRun int
	// checkpoint is the newest value that a member has reported. Any member's value is valid for all, and all must resume from the
	// same one.
	checkpoint string
	savedBy    int  // number of the run that reported it
	percent    int  // progress of the member when it was reported
	atStop     bool // it was saved when a member was stopped, after all others of that run
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

// saveCheckpoint records a checkpoint that a member of the given run reported, unless a newer one is known.
func (g *gang) saveCheckpoint(value string, run, percent int, atStop bool) {
	if run < g.savedBy || run == g.savedBy && (g.atStop || percent < g.percent && !atStop) {
		return
	}
	g.checkpoint, g.savedBy, g.percent, g.atStop = value, run, percent, atStop
}

// saveCheckpoint records the checkpoint in a report of the run; an empty value is ignored. atStop is set if the run has been stopped.
func (r *run) saveCheckpoint(value string, atStop bool) {
	t := r.task
	switch {
	case value == "":
	case t.step.def.Gang:
		t.step.gang.saveCheckpoint(value, r.number, r.percent, atStop)
	case t.copy != nil && r.percent < max(t.run.percent, t.copy.percent): // the other run has done more
	default:
		t.checkpoint = value
	}
}

// resumePoint returns the checkpoint from which the next run of the task resumes; empty for the beginning.
func (t *task) resumePoint() string {
	if t.step.def.Gang {
		return t.step.gang.checkpoint
	}
	return t.checkpoint
}
