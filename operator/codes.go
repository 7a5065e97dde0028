package operator

import (
	"log/slog"

	"magnoliaferry/event"
	"magnoliaferry/result"
)

// The result codes of the operator API; the text of each states the rule by which a call is refused.
var (
	CodeInvalidConfiguration = result.New(1100, "invalid-configuration", 422, result.NotRun,
		"a configuration is accepted only without faults")
	CodeNoIdentity = result.New(1101, "no-identity", 401, result.NotRun,
		"every call needs a verified client certificate that names the operator")
	CodeVersionConflict = result.New(1102, "version-conflict", 409, result.NotRun,
		"a submission must name the version that is in force")
	CodeBodyTooLarge = result.New(1103, "body-too-large", 413, result.NotRun,
		"the body of a call is bounded")
	CodeTableUnavailable = result.New(1104, "table-unavailable", 503, result.NotRun,
		"the call needs the platform's table, which does not answer")
	CodeObjectsUnavailable = result.New(1105, "object-store-unavailable", 503, result.NotRun,
		"the call needs the platform's object store, which does not answer")
	CodeOutcomeUnknown = result.New(1106, "operation-outcome-unknown", 504, result.Unknown,
		"the call may have taken effect; repeat it under the same operation id to find out")
	CodeNotAvailable = result.New(1107, "not-available", 501, result.NotRun,
		"the process that was asked does not run this part of the system")
	CodeNotFound = result.New(1108, "not-found", 404, result.NotRun,
		"the call names something that does not exist")
	CodeMalformed = result.New(1109, "malformed-call", 400, result.NotRun,
		"a parameter of the call is missing or invalid")
	CodeNoConfiguration = result.New(1110, "no-configuration", 404, result.NotRun,
		"the call needs a configuration, and none has been submitted")
	CodeStateDamaged = result.New(1111, "state-damaged", 500, result.NotRun,
		"the stored configuration cannot be read")
	CodeOperationReused = result.New(1112, "operation-reused", 409, result.NotRun,
		"an operation id stands for one body only")
	CodeUnreachable = result.New(1113, "server-unreachable", 503, result.NotRun,
		"the call had no effect, because it was not sent or only reads and got no answer")
	CodeBadAnswer = result.New(1114, "bad-answer", 502, result.Unknown,
		"the server's answer cannot be read")
)

// The log events of the operator API.
var (
	eventAccepted = event.New(1100, "configuration-accepted", slog.LevelInfo, "a configuration was accepted")
	eventOrder    = event.New(1101, "operator-order", slog.LevelInfo, "an order of an operator was accepted")
	eventRefused  = event.New(1102, "operator-refused", slog.LevelWarn, "a call of an operator was refused")
)
