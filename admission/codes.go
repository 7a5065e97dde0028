package admission

import "magnoliaferry/result"

// Result codes of the queue. A refused request was never dispatched, so each outcome is NotRun.
var (
	CodeQueueFull = result.New(2100, "queue-full", 503, result.NotRun,
		"the queue of the pool is full")
	CodeDisplaced = result.New(2101, "displaced", 503, result.NotRun,
		"the request gave way in a full queue to a request of a caller with fewer requests waiting")
	CodeWaitTooLong = result.New(2102, "wait-too-long", 503, result.NotRun,
		"the predicted wait is longer than the request may wait")
	CodeWaitExpired = result.New(2103, "wait-expired", 503, result.NotRun,
		"no slot came free within the longest wait of the queue")
	CodeDeadlinePassed = result.New(2104, "deadline-passed", 504, result.NotRun,
		"the deadline passed before a slot came free")
	CodeCallerLeft = result.New(2105, "caller-left", 499, result.NotRun,
		"the caller left before a slot came free")
)
