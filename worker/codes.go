package worker

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes of requests without a valid answer. Those with outcome not-run are used only if no byte was written or
// the worker answered that it did not run the request.
var (
	CodeNoConnection         = result.New(2350, "no-connection", 502, result.NotRun, "no connection to a worker could be opened")
	CodeConnectionsInUse     = result.New(2351, "connections-in-use", 503, result.NotRun, "all connections to the worker are in use")
	CodeNotSent              = result.New(2352, "not-sent", 502, result.NotRun, "the connection to the worker failed before the request was sent")
	CodeRefused              = result.New(2353, "worker-refused", 503, result.NotRun, "the worker says that it did not run the request")
	CodeBroken               = result.New(2354, "connection-broken", 502, result.Unknown, "the connection failed after a part of the request was sent")
	CodeSilent               = result.New(2355, "connection-silent", 504, result.Unknown, "the connection went silent while the request was sent or its answer arrived")
	CodeDeadline             = result.New(2356, "deadline-at-worker", 504, result.Unknown, "the deadline passed after the request was sent")
	CodeTruncated            = result.New(2357, "answer-truncated", 502, result.Ran, "the worker's answer ended early")
	CodeMismatched           = result.New(2358, "answer-mismatched", 502, result.Unknown, "the worker's answer belongs to another request")
	CodeUnframed             = result.New(2359, "answer-unframed", 502, result.Ran, "the worker's answer has neither length nor chunks, so its end cannot be checked")
	CodeCallerGone           = result.New(2360, "caller-gone", 499, result.Unknown, "the caller went away after the request was sent")
	CodeCallerGoneBefore     = result.New(2361, "caller-gone-before", 499, result.NotRun, "the caller went away before the request was sent")
	CodeDeadlineBeforeWorker = result.New(2362, "deadline-before-worker", 504, result.NotRun, "the deadline passed before the request was sent")
	CodeRequestBodyFailed    = result.New(2363, "request-body-failed", 400, result.Unknown, "the caller's request body ended early after a part of it was sent")
	CodeAnswerCut            = result.New(2364, "answer-cut", 504, result.Ran, "the deadline passed or the connection went silent in the middle of the answer")
	CodeAnswerNotBegun       = result.New(2365, "answer-not-begun", 504, result.Unknown, "the worker did not begin its answer in time and the request was given up there")
)

// The events of the package.
var (
	EventSilent          = event.New(2350, "connection-silent", slog.LevelWarn, "a connection to a worker carried no byte for the progress time-out; it and the idle connections to the worker are closed")
	EventProbeUnanswered = event.New(2351, "probe-unanswered", slog.LevelWarn, "a probe on an idle connection got no valid answer; all idle connections to the worker are closed")
	EventMismatched      = event.New(2352, "answer-mismatched", slog.LevelError, "a worker's answer does not belong to the request that was sent; the answer is discarded and the connection closed")
	EventUnsolicited     = event.New(2353, "answer-unasked", slog.LevelError, "a worker sent bytes on a connection that carried no request; the connection is closed")
)
