package claim

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes. NotRun refers to the refused attempt, which was not dispatched. It does not concern an earlier
// attempt with the same key, whose recorded answer stays valid.
var (
	CodeTableUnavailable = result.New(2200, "claim-table-unavailable", 503, result.NotRun,
		"the claim could not be stored, because the platform's table is unavailable")
	CodeDeadlinePassed = result.New(2201, "claim-deadline-passed", 504, result.NotRun,
		"the deadline passed before the request was dispatched")
	CodeStillRunning = result.New(2202, "still-running", 409, result.Unknown,
		"an earlier attempt with the same key is still running")
	CodeOutcomeUnknown = result.New(2203, "outcome-unknown", 409, result.Unknown,
		"an earlier attempt with the same key was dispatched or may have been, and its outcome is unknown")
	CodeAnswerNotKept = result.New(2204, "answer-not-kept", 410, result.Ran,
		"an earlier attempt with the same key ran, and its answer was too large to keep")
	CodeKeyReused = result.New(2205, "key-reused", 422, result.NotRun,
		"the key belongs to a different request")
	CodeTooManyClaims = result.New(2206, "too-many-claims", 503, result.NotRun,
		"too many claims wait for the platform's table")
	CodeStopping = result.New(2207, "claim-stopping", 503, result.NotRun,
		"the entry instance is shutting down")
	CodeCallerLeft = result.New(2208, "claim-caller-left", 499, result.NotRun,
		"the caller left before the request was dispatched")
	CodePermitUsed = result.New(2209, "permit-used", 500, result.Unknown,
		"the permit of the claim was used before")
)

var (
	eventOpened = event.New(2200, "claim-table-lost", slog.LevelWarn,
		"the platform's table does not answer; new claims are refused")
	eventLimitLifted = event.New(2201, "claim-table-back", slog.LevelInfo,
		"the platform's table answers again; the limit on claims is lifted")
	eventMisuse = event.New(2202, "claim-misuse", slog.LevelError,
		"a claim was finished without a dispatch, or abandoned after its dispatch; the call was ignored")
)
