package config

import (
	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

// The diagnostics of a configuration; docs/diagnostics.md explains each.
const (
	CodeSyntax                       = strictjson.CodeSyntax
	CodeTooLarge                     = strictjson.CodeTooLarge
	CodeTooDeep                      = strictjson.CodeTooDeep
	CodeDuplicateField               = strictjson.CodeDuplicateField
	CodeUnknownField                 = strictjson.CodeUnknownField
	CodeMissingField                 = strictjson.CodeMissingField
	CodeWrongType                    = strictjson.CodeWrongType
	CodeWrongUnit                    = strictjson.CodeWrongUnit
	CodeOutOfRange                   = strictjson.CodeOutOfRange
	CodeInvalidValue                 = strictjson.CodeInvalidValue
	CodeDuplicateName      diag.Code = 1110
	CodeUnknownPool        diag.Code = 1111
	CodeUnknownTeam        diag.Code = 1112
	CodeCapacity           diag.Code = 1113
	CodeBudget             diag.Code = 1114
	CodeFailures           diag.Code = 1115
	CodeTooManyFailedZones diag.Code = 1116
	CodeWeights            diag.Code = 1117
	CodeContact            diag.Code = 1118
	CodeCallerInTwoTeams   diag.Code = 1119
	CodeJobAboveWorker     diag.Code = 1120
	CodeJobAboveQuota      diag.Code = 1121
	CodeDeadline           diag.Code = 1122
	CodeConnections        diag.Code = 1123
	CodeRunOnceAttempts    diag.Code = 1124
	CodeReservedName       diag.Code = 1125
	CodeTooManyFaults                = strictjson.CodeTooManyFaults
)

// Codes returns the names of all configuration diagnostics by code, for the table in docs/diagnostics.md.
func Codes() map[diag.Code]string {
	return map[diag.Code]string{
		CodeSyntax:             "syntax",
		CodeTooLarge:           "too-large",
		CodeTooDeep:            "too-deep",
		CodeDuplicateField:     "duplicate-field",
		CodeUnknownField:       "unknown-field",
		CodeMissingField:       "missing-field",
		CodeWrongType:          "wrong-type",
		CodeWrongUnit:          "wrong-unit",
		CodeOutOfRange:         "out-of-range",
		CodeInvalidValue:       "invalid-value",
		CodeDuplicateName:      "duplicate-name",
		CodeUnknownPool:        "unknown-pool",
		CodeUnknownTeam:        "unknown-team",
		CodeCapacity:           "capacity-above-instances",
		CodeBudget:             "budget-above-instances",
		CodeFailures:           "failures-above-budget",
		CodeTooManyFailedZones: "too-many-failed-zones",
		CodeWeights:            "weight-sum",
		CodeContact:            "missing-contact",
		CodeCallerInTwoTeams:   "caller-in-two-teams",
		CodeJobAboveWorker:     "job-above-worker",
		CodeJobAboveQuota:      "job-above-quota",
		CodeDeadline:           "deadline-above-maximum",
		CodeConnections:        "connections-below-slots",
		CodeRunOnceAttempts:    "run-once-attempts",
		CodeReservedName:       "reserved-name",
		CodeTooManyFaults:      "too-many-faults",
	}
}
