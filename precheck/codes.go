package precheck

import "magnoliaferry/diag"

// The diagnostics of an operators' configuration; docs/diagnostics.md explains each.
const (
	CodeSyntax           diag.Code = 1070
	CodeType             diag.Code = 1071
	CodeDuplicateField   diag.Code = 1072
	CodeNoVersion        diag.Code = 1073
	CodeVersion          diag.Code = 1074
	CodeNoName           diag.Code = 1075
	CodeDuplicateName    diag.Code = 1076
	CodeNeverMatches     diag.Code = 1077
	CodeUnknownPool      diag.Code = 1078
	CodeKeyOfTwo         diag.Code = 1079
	CodeIgnoredKey       diag.Code = 1080
	CodeNoCallerHasKey   diag.Code = 1081
	CodeNoAdvisor        diag.Code = 1082
	CodeNegative         diag.Code = 1083
	CodeCountsAsOne      diag.Code = 1084
	CodeNoKeys           diag.Code = 1085
	CodeSameKeyAgain     diag.Code = 1086
	CodeTinyCap          diag.Code = 1087
	CodeTimeout          diag.Code = 1088
	CodeBodyLimit        diag.Code = 1089
	CodePoolWithoutQueue diag.Code = 1090
	CodeStandbyNotUsed   diag.Code = 1091
	CodeShortRevocation  diag.Code = 1092
	CodeShortLease       diag.Code = 1093
)

// Codes returns the names of the diagnostics by code, for the table in docs/diagnostics.md.
func Codes() map[diag.Code]string {
	return map[diag.Code]string{
		CodeSyntax:           "configuration-syntax",
		CodeType:             "configuration-type",
		CodeDuplicateField:   "configuration-field-twice",
		CodeNoVersion:        "version-missing",
		CodeVersion:          "version-not-higher",
		CodeNoName:           "name-missing",
		CodeDuplicateName:    "name-twice",
		CodeNeverMatches:     "never-matches",
		CodeUnknownPool:      "pool-not-declared",
		CodeKeyOfTwo:         "key-of-two-customers",
		CodeIgnoredKey:       "key-ignored",
		CodeNoCallerHasKey:   "no-caller-has-a-key",
		CodeNoAdvisor:        "no-advisor",
		CodeNegative:         "below-zero",
		CodeCountsAsOne:      "counts-as-one",
		CodeNoKeys:           "customer-without-keys",
		CodeSameKeyAgain:     "key-twice",
		CodeTinyCap:          "tiny-cap",
		CodeTimeout:          "timeout-below-objective",
		CodeBodyLimit:        "body-limit-too-high",
		CodePoolWithoutQueue: "pool-without-queue",
		CodeStandbyNotUsed:   "standby-not-used",
		CodeShortRevocation:  "short-revocation-limit",
		CodeShortLease:       "short-lease-limit",
	}
}
