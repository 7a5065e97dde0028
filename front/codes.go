package front

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/metrics"
	"magnoliaferry/result"
)

// The results of requests about jobs.
var (
	CodeAccepted  = result.New(2500, "job-accepted", 200, result.Ran, "the job is stored and will run")
	CodeState     = result.New(2501, "job-state", 200, result.Ran, "the state of the job")
	CodeCancelled = result.New(2502, "job-cancelled", 200, result.Ran, "the job is cancelled")
	CodeNoQueue   = result.New(2510, "no-such-queue", 404, result.NotRun, "no queue has this host and path")
	CodeNoJob     = result.New(2511, "no-such-job", 410, result.NotRun, "no such job exists in this queue, and no earlier request will create it")
	CodeInvalid   = result.New(2512, "job-invalid", 400, result.NotRun, "the job cannot be carried out as it is described")
	CodeWithdrawn = result.New(2513, "job-cancelled-before", 503, result.NotRun, "the id was cancelled before a job with it was stored; the job will not run")
	CodeNotFound  = result.New(2514, "job-not-found", 410, result.Unknown, "no such job is stored now; an earlier request that got no answer may still store it, unless the job is cancelled")
	CodeNoKey     = result.New(2515, "key-unknown", 401, result.NotRun, "the request has no key, or one that no customer has now")
	CodeIDInUse   = result.New(2516, "job-id-in-use", 409, result.NotRun, "the id belongs to a job that this caller cannot see; the job was not stored")
	CodeTooLarge  = result.New(2517, "body-too-large", 413, result.NotRun, "the body is over the limit for the body of a request; it was not read")
	CodeNotReady  = result.New(2520, "not-ready", 503, result.Unknown, "this instance has no configuration or no copy of the jobs yet")
	CodeNotStored = result.New(2521, "job-not-stored", 504, result.Unknown, "the platform's store did not take the job from this request, but may still carry out an earlier one; repeat the request with the same id, or cancel the job")
	CodeUnknown   = result.New(2522, "job-outcome-unknown", 504, result.Unknown, "the platform's store did not tell in time whether it has the job; repeat the request with the same id")
	// CodeKeysUnconfirmed has an unknown outcome, as an earlier request with the same id may have stored the job.
	CodeKeysUnconfirmed = result.New(2524, "keys-unconfirmed", 503, result.Unknown, "this instance cannot confirm at the platform's store which keys are valid; this request did nothing")
	CodeStale           = result.New(2523, "state-unknown", 503, result.Unknown, "this instance is cut off from the platform's store and cannot tell")
	CodeNoMemory        = result.New(2526, "no-memory-for-body", 504, result.Unknown, "this instance has no memory for the body; this request was not run, but an earlier one with the id may have stored the job; repeat the request with the same id")
	CodeDeferred        = result.New(2525, "cancel-deferred", 503, result.Unknown, "too many ids without a stored job are being cancelled at this instance; nothing was cancelled, and an earlier request may still store the job")
)

var (
	eventAccepted  = event.New(2550, "job-accepted", slog.LevelInfo, "a new job has been stored")
	eventRepeated  = event.New(2551, "job-repeated", slog.LevelInfo, "a job that is already stored was submitted again")
	eventRefused   = event.New(2552, "request-refused", slog.LevelWarn, "a request about a job was refused")
	eventTombstone = event.New(2554, "job-id-withdrawn", slog.LevelInfo, "an id without a stored job was cancelled; a job with this id can no longer be stored")
	eventDeferred  = event.New(2555, "cancels-deferred", slog.LevelWarn, "cancels of ids without a stored job were refused because there were too many; the count is that since the last such line")
	eventCancelled = event.New(2553, "job-cancel-stored", slog.LevelInfo, "a request to cancel a job has been stored")
)

// acceptTime is the time that storing a new job takes, including repeats of the write.
var acceptTime = metrics.NewHistogram("job-accept-ms")
