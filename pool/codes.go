package pool

import (
	"expvar"
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/metrics"
)

var (
	eventPlaced             = event.New(4200, "tasks-placed", slog.LevelInfo, "tasks of a step were placed on workers; runs lists them as INDEX/RUN@WORKER, and left is the number of tasks of the job that still wait")
	eventEnded              = event.New(4201, "run-ended", slog.LevelInfo, "a run of a task has ended for another reason than done, or after the task was done by another run")
	eventWorkerEvicted      = event.New(4202, "runs-lapsed", slog.LevelWarn, "a worker that did not answer before its lease expired is evicted; its runs count as lost")
	eventRestarted          = event.New(4203, "worker-restarted", slog.LevelWarn, "a worker has restarted; runs of its earlier incarnation are lost")
	eventRestartClaimed     = event.New(4225, "restart-claimed", slog.LevelInfo, "an entry says that a worker has restarted; the worker is asked, and until it answers as that incarnation the entry has no effect")
	eventRestartRefuted     = event.New(4226, "restart-refuted", slog.LevelWarn, "a worker runs on although an entry says that it has restarted; the entry is ignored")
	eventEntryContradicted  = event.New(4227, "entry-contradicted", slog.LevelWarn, "an entry of a worker differs from the one in force in what does not change while the worker runs; it is ignored unless it stays")
	eventWorker             = event.New(4204, "worker-changed", slog.LevelInfo, "a worker was added, changed whether it drains, or was removed")
	eventWorkerUnresponsive = event.New(4205, "worker-silent", slog.LevelWarn, "a worker stopped answering")
	eventWorkerResponsive   = event.New(4206, "worker-answers", slog.LevelInfo, "a worker answers for the first time, or again")
	eventJobEnded           = event.New(4207, "job-ended", slog.LevelInfo, "a job has reached its final state")
	eventRefused            = event.New(4208, "start-refused", slog.LevelWarn, "a worker did not start a task")
	eventStopping           = event.New(4209, "stop-ordered", slog.LevelInfo, "a worker is ordered to stop a run")
	eventFenced             = event.New(4210, "worker-fenced", slog.LevelWarn, "a worker refused an order because it has seen a higher fencing token; another instance owns the pool")
	eventStray              = event.New(4211, "stray-run", slog.LevelError, "a worker lists a run that this owner did not start; it is ordered to stop it")
	eventRunThrottled       = event.New(4212, "run-paced", slog.LevelInfo, "the throttle of a background run changes: it may use the logged percentage of its processor time")
	eventJobAdded           = event.New(4213, "job-taken", slog.LevelInfo, "the owner of the pool has added a job")
	eventStartNotCarriedOut = event.New(4214, "run-never-began", slog.LevelInfo, "the worker did not carry out a start that got no answer, and now refuses it because of its fencing token; the run counts as lost")
	eventStalled            = event.New(4215, "run-stalled", slog.LevelWarn, "a run makes little or no progress; it is stopped and started on another worker")
	eventSlowWorker         = event.New(4216, "worker-slow", slog.LevelWarn, "tasks take much longer on a worker than elsewhere; it is avoided for a while")
	eventMissing            = event.New(4217, "run-missing", slog.LevelWarn, "a worker no longer lists a run that it had started; the run counts as lost")
	eventUnmatchedEnd       = event.New(4218, "end-passed-over", slog.LevelInfo, "a worker lists the end of a run that counts as lost already, or was stopped before it began; counts is true if the task is done by it")
	eventNotSent            = event.New(4219, "start-not-sent", slog.LevelInfo, "a start was stored, but its job has ended or its worker cannot take it now; no order was sent")
	eventLeaseReported      = event.New(4220, "lease-reported", slog.LevelInfo, "a worker does not answer; the owner reports the remaining time of its lease and no longer renews it")
	eventSlowOwner          = event.New(4221, "owner-slow", slog.LevelWarn, "the owner of the pool, or its network link, is slow; it evicts no worker for missing answers until it has caught up")
	eventRackWait           = event.New(4224, "rack-wait", slog.LevelInfo, "a task, or a tightly coupled gang, waits for a place on a rack although it could run elsewhere, as that costs more")
	eventStepCompleted      = event.New(4222, "step-completed", slog.LevelInfo, "all tasks of a step are done; run-ms is the average time of their runs")
	eventCopyStarted        = event.New(4230, "copy-started", slog.LevelInfo, "a run is slow; a copy of its task is started on another worker; left-ms is the estimated rest of the slow run, new-ms the usual time of a new one")
	eventCopyEnded          = event.New(4231, "copy-ended", slog.LevelInfo, "a task with a copy is done; won tells whether the copy ended first")
	eventStartsPostponed    = event.New(4223, "starts-postponed", slog.LevelWarn, "the progress of a job with these starts would not fit into one row of the store; they wait until other tasks of the job have ended")
	eventCustomerShares     = event.New(4240, "customer-shares", slog.LevelInfo, "what the customers that use most of the pool use and may use, and how many of their jobs wait, while some wait for those of other customers; once a second")
)

var (
	placeTime     = metrics.NewHistogram("task-place-ms") // age of the job when a task is placed
	runTime       = metrics.NewHistogram("run-ms")        // from the start order to the end
	copiesStarted = expvar.NewInt("copies-started")
	copiesWon     = expvar.NewInt("copies-won")     // ended as done before the first run
	copiesStopped = expvar.NewInt("copies-stopped") // all others that have ended
	jobTime       = metrics.NewHistogram("job-ms")  // from acceptance to the final state
	// jobsBeyond counts the jobs beyond the entitlements of their customers.
	jobsBeyond = expvar.NewInt("jobs-beyond-entitlement")
)
