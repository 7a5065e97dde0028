package config

import "magnoliaferry/diag"

// The diagnostics of a configuration; docs/diagnostics.md explains each.
const (
	CodeSyntax          diag.Code = 1100
	CodeTooLarge        diag.Code = 1101
	CodeTooDeep         diag.Code = 1102
	CodeDuplicateField  diag.Code = 1103
	CodeUnknownField    diag.Code = 1104
	CodeMissingField    diag.Code = 1105
	CodeWrongType       diag.Code = 1106
	CodeWrongUnit       diag.Code = 1107
	CodeOutOfRange      diag.Code = 1108
	CodeInvalidValue    diag.Code = 1109
	CodeDuplicateName   diag.Code = 1110
	CodeUnknownPool     diag.Code = 1111
	CodeUnknownTeam     diag.Code = 1112
	CodeCapacity        diag.Code = 1113
	CodeBudget          diag.Code = 1114
	CodeFailures        diag.Code = 1115
	CodeFailedZones     diag.Code = 1116
	CodeWeights         diag.Code = 1117
	CodeContact         diag.Code = 1118
	CodeCallerTwice     diag.Code = 1119
	CodeJobAboveWorker  diag.Code = 1120
	CodeJobAboveQuota   diag.Code = 1121
	CodeDeadline        diag.Code = 1122
	CodeConnections     diag.Code = 1123
	CodeRunOnceAttempts diag.Code = 1124
	CodeReservedName    diag.Code = 1125
	CodeTooMany         diag.Code = 1126
)

// Codes returns the name of every diagnostic by its number, for the table in docs/diagnostics.md.
func Codes() map[diag.Code]string {
	return map[diag.Code]string{
		CodeSyntax:          "syntax",
		CodeTooLarge:        "too-large",
		CodeTooDeep:         "too-deep",
		CodeDuplicateField:  "duplicate-field",
		CodeUnknownField:    "unknown-field",
		CodeMissingField:    "missing-field",
		CodeWrongType:       "wrong-type",
		CodeWrongUnit:       "wrong-unit",
		CodeOutOfRange:      "out-of-range",
		CodeInvalidValue:    "invalid-value",
		CodeDuplicateName:   "duplicate-name",
		CodeUnknownPool:     "unknown-pool",
		CodeUnknownTeam:     "unknown-team",
		CodeCapacity:        "capacity-above-instances",
		CodeBudget:          "budget-above-instances",
		CodeFailures:        "failures-above-budget",
		CodeFailedZones:     "too-many-failed-zones",
		CodeWeights:         "weight-sum",
		CodeContact:         "missing-contact",
		CodeCallerTwice:     "caller-in-two-teams",
		CodeJobAboveWorker:  "job-above-worker",
		CodeJobAboveQuota:   "job-above-quota",
		CodeDeadline:        "deadline-above-maximum",
		CodeConnections:     "connections-below-slots",
		CodeRunOnceAttempts: "run-once-attempts",
		CodeReservedName:    "reserved-name",
		CodeTooMany:         "too-many-faults",
	}
}
