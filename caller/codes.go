package caller

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes of the caller interface.
var (
	CodeAnswered             = result.New(2000, "answered", 200, result.Ran, "the answer is the worker's")
	CodeRecorded             = result.New(2001, "answered-before", 200, result.Ran, "the answer was recorded when the request ran before")
	CodeNoConfiguration      = result.New(2010, "no-configuration", 503, result.NotRun, "this entry instance has no configuration yet")
	CodeNoService            = result.New(2011, "no-service", 404, result.NotRun, "the configuration has no service of this name")
	CodeBadHeader            = result.New(2012, "bad-header", 400, result.NotRun, "a header is malformed or out of bounds")
	CodeBodyTooLarge         = result.New(2013, "body-too-large", 413, result.NotRun, "the request body is too large")
	CodeBodyIncomplete       = result.New(2014, "body-incomplete", 400, result.NotRun, "the request body ended early or came too late")
	CodeStopping             = result.New(2015, "entry-stopping", 503, result.NotRun, "this entry instance is stopping; another one takes the request")
	CodeDeadlineWhileWaiting = result.New(2016, "deadline-while-waiting", 504, result.NotRun, "the deadline passed before the request was dispatched")
	CodeNoWorker             = result.New(2017, "no-worker", 503, result.NotRun, "no worker of the pool has a free slot")
	CodeClaimFailed          = result.New(2018, "claim-failed", 503, result.NotRun, "the claim that keeps the request from running twice could not be stored")
	CodeCut                  = result.New(2022, "cut-at-stop", 503, result.Unknown, "this entry instance stopped while the request ran")
	CodeCallerGone           = result.New(2023, "caller-gone-waiting", 499, result.NotRun, "the caller went away while the request waited")
	CodeTooManyRequests      = result.New(2024, "too-many-requests", 503, result.NotRun, "this entry instance has as many requests in flight as it can hold")
)

// The log events of the package.
var (
	EventRequest         = event.New(2000, "request", slog.LevelDebug, "a request was answered")
	EventOutcomeUnknown  = event.New(2001, "outcome-unknown", slog.LevelWarn, "a request was refused, and it is unknown whether it ran")
	EventAborted         = event.New(2002, "answer-aborted", slog.LevelWarn, "an answer could not be sent completely; the caller's connection was aborted")
	EventLeaving         = event.New(2003, "entry-leaving", slog.LevelInfo, "the entry instance is leaving; its health check fails from now on")
	EventCut             = event.New(2004, "request-cut", slog.LevelError, "a request was cancelled because it had not ended within the grace time of the stop")
	EventStopped         = event.New(2005, "caller-stopped", slog.LevelInfo, "the caller interface has stopped")
	EventRetry           = event.New(2006, "request-retried", slog.LevelInfo, "a request failed at one worker and is sent to another")
	EventHTTPServerError = event.New(2008, "caller-server", slog.LevelWarn, "the HTTP server reported an error on a connection")
	EventListening       = event.New(2007, "caller-listening", slog.LevelInfo, "the caller interface accepts requests")
)
