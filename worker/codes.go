package worker

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes of a request that a worker did not answer well. Those with outcome not-run are used only where no
// byte was written or the worker said that it did not run the request.
var (
	CodeNoConnection   = result.New(2350, "no-connection", 502, result.NotRun, "no connection to a worker could be opened")
	CodeConnections    = result.New(2351, "connections-in-use", 503, result.NotRun, "all connections to the worker are in use")
	CodeNotSent        = result.New(2352, "not-sent", 502, result.NotRun, "the connection to the worker failed before the request was sent")
	CodeRefused        = result.New(2353, "worker-refused", 503, result.NotRun, "the worker says that it did not run the request")
	CodeBroken         = result.New(2354, "connection-broken", 502, result.Unknown, "the connection failed after a part of the request was sent")
	CodeSilent         = result.New(2355, "connection-silent", 504, result.Unknown, "the connection went silent while the request was sent or its answer arrived")
	CodeDeadline       = result.New(2356, "deadline-at-worker", 504, result.Unknown, "the deadline passed after the request was sent")
	CodeTruncated      = result.New(2357, "answer-truncated", 502, result.Ran, "the worker's answer ended early")
	CodeMismatched     = result.New(2358, "answer-mismatched", 502, result.Unknown, "the worker's answer belongs to another request")
	CodeUnframed       = result.New(2359, "answer-unframed", 502, result.Ran, "the worker's answer has neither length nor chunks, so its end cannot be checked")
	CodeCallerGone     = result.New(2360, "caller-gone", 499, result.Unknown, "the caller went away after the request was sent")
	CodeNotSentGone    = result.New(2361, "caller-gone-before", 499, result.NotRun, "the caller went away before the request was sent")
	CodeTooLate        = result.New(2362, "deadline-before-worker", 504, result.NotRun, "the deadline passed before the request was sent")
	CodeBody           = result.New(2363, "request-body-failed", 400, result.Unknown, "the caller's request body ended early after a part of it was sent")
	CodeCutAnswer      = result.New(2364, "answer-cut", 504, result.Ran, "the deadline passed or the connection went silent in the middle of the answer")
	CodeAnswerNotBegun = result.New(2365, "answer-not-begun", 504, result.Unknown, "the worker did not begin its answer in time and the request was given up there")
)

// The events of the package.
var (
	EventSilent     = event.New(2350, "connection-silent", slog.LevelWarn, "a connection went silent and is replaced")
	EventProbe      = event.New(2351, "probe-unanswered", slog.LevelWarn, "an idle connection did not answer a probe and is closed")
	EventMismatched = event.New(2352, "answer-mismatched", slog.LevelError, "a worker's answer carries the id of another request")
	EventUnasked    = event.New(2353, "answer-unasked", slog.LevelError, "a worker sent bytes on a connection without a request")
)
