package claim

import "expvar"

// The counters under "claim" in expvar, each since the start of the process.
var (
	metrics             = expvar.NewMap("claim")
	countStored         = counter("claims-stored")
	countRefused        = counter("claims-refused")
	countAnswers        = counter("answers-and-abandonments-recorded")
	countTransactions   = counter("transactions")
	countConflicts      = counter("conflicts")
	countOutcomeUnknown = counter("transactions-unsettled")
	countScanned        = counter("clean-up-rows-read")
	countDeleted        = counter("clean-up-rows-deleted")
)

func counter(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}
