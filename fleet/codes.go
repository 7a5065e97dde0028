package fleet

import (
	"log/slog"
	"net/http"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes of operators' actions.
var (
	BudgetExhausted = result.New(4000, "budget-exhausted", http.StatusConflict, result.NotRun,
		"The pool has as many workers out as its availability budget allows.")
	CapacityReached = result.New(4001, "capacity-reached", http.StatusConflict, result.NotRun,
		"One worker less would take the pool below its declared capacity.")
	NoSuchInstance = result.New(4002, "no-such-instance", http.StatusNotFound, result.NotRun,
		"No pool holds an instance of that id.")
	NoSuchPool = result.New(4003, "no-such-pool", http.StatusNotFound, result.NotRun,
		"The configuration declares no pool of that name.")
	WrongPhase = result.New(4004, "wrong-phase", http.StatusConflict, result.NotRun,
		"The instance is in a phase in which the action has no meaning.")
	TableUnavailable = result.New(4005, "table-unavailable", http.StatusServiceUnavailable, result.NotRun,
		"The platform's table does not answer; nothing was changed.")
	OutcomeUnknown = result.New(4006, "outcome-unknown", http.StatusServiceUnavailable, result.Unknown,
		"The answer of the platform's table was lost and could not be settled; look at the status before a repeat.")
	LostRace = result.New(4007, "lost-race", http.StatusConflict, result.NotRun,
		"Another operator or control loop changed the same rows first.")
	WaveState = result.New(4008, "wave-state", http.StatusConflict, result.NotRun,
		"The wave is not in a state from which the action is possible.")
	NoConfiguration = result.New(4009, "no-configuration", http.StatusServiceUnavailable, result.NotRun,
		"This entry instance has no configuration yet.")
	NoSuchJob = result.New(4100, "no-such-job", http.StatusNotFound, result.NotRun,
		"No job of that name is known.")
	JobEnded = result.New(4101, "job-ended", http.StatusConflict, result.NotRun,
		"The job has already ended.")
)

// The log events of the control loop.
var (
	eventStep                   = event.New(4000, "fleet-step", slog.LevelInfo, "a planned step or a detected failure was written to the table")
	eventWait                   = event.New(4001, "fleet-wait", slog.LevelInfo, "planned work is postponed; see the reason")
	eventStepSkipped            = event.New(4002, "fleet-step-skipped", slog.LevelInfo, "a planned step was skipped because the state had changed since it was planned or a limit of the pool was reached")
	eventPlatformUnavailable    = event.New(4003, "platform-away", slog.LevelWarn, "a call to the platform failed; planning is suspended until the platform answers")
	eventPlatformAvailable      = event.New(4004, "platform-back", slog.LevelInfo, "the platform answers again; planning resumes after a delay")
	eventMaintenanceOrderFailed = event.New(4005, "maintenance-order-failed", slog.LevelWarn, "a maintenance call to the platform failed; the next pass repeats it")
	eventJobStep                = event.New(4100, "job-step", slog.LevelInfo, "a step of a job was written to the table")
	eventTaskOrderFailed        = event.New(4101, "task-order-failed", slog.LevelWarn, "a call to the platform to start, stop, checkpoint or throttle a task failed")
	eventScan                   = event.New(4006, "assignments-scan", slog.LevelInfo, "the changes of the instances are not known completely; reading all instance rows")
)
