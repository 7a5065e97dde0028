package platformhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/joomcode/errorx"

	"magnoliaferry/provider"
)

// ZoneHeader is the header with the availability zone of the calling process.
const ZoneHeader = "Magnoliaferry-Zone"

// The paths of the protocol; each takes a POST with a Call as its body and answers with an Answer.
const (
	PathRead       = "/v1/table/read"
	PathScan       = "/v1/table/scan"
	PathCommit     = "/v1/table/commit"
	PathObjectPut  = "/v1/objects/put"
	PathObjectGet  = "/v1/objects/get"
	PathList       = "/v1/instances/list"
	PathTaskStart  = "/v1/tasks/start"
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathThrottle   = "/v1/tasks/throttle"
	PathTaskStop   = "/v1/tasks/stop"
	PathUsage      = "/v1/tasks/usage"
	PathDrain      = "/v1/maintenance/drain"
	PathReboot     = "/v1/maintenance/reboot"
	PathStatus     = "/v1/maintenance/status"
)

// RowFields is a row of the table on the wire.
type RowFields struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"version"`
	Operation string `json:"operation,omitempty"` // id of the transaction that last wrote the row
	// Same means that version and operation are those in the call's Known; the value is omitted.
	Same bool `json:"same,omitempty"`
}

// KnownFields identifies the state of a row that the caller has cached. The operation distinguishes two states with the same version,
// which can occur after the table lost rows.
type KnownFields struct {
	Version   int64  `json:"version"`
	Operation string `json:"operation"`
}

// Row returns the fields as a provider.Row.
func (f RowFields) Row() provider.Row { return provider.NewRow(f.Key, f.Value, f.Version, f.Operation) }

// WriteFields is one conditional write or check of a transaction on the wire.
type WriteFields struct {
	Kind      provider.WriteKind `json:"kind"`
	Key       string             `json:"key"`
	Value     []byte             `json:"value,omitempty"`
	IfVersion int64              `json:"if-version"` // 0: the row must not exist; provider.AnyVersion (-1): no condition
}

// Call is the body of every request; each path uses some of the fields.
type Call struct {
	Keys      []string             `json:"keys,omitempty"`
	Known     []KnownFields        `json:"known,omitempty"` // cached states, in the order of Keys, or empty
	Prefix    string               `json:"prefix,omitempty"`
	After     string               `json:"after,omitempty"`
	Limit     int                  `json:"limit,omitempty"`
	Operation string               `json:"operation,omitempty"`
	Writes    []WriteFields        `json:"writes,omitempty"`
	Name      string               `json:"name,omitempty"`
	Body      []byte               `json:"body,omitempty"`
	Zone      string               `json:"zone,omitempty"`   // empty for all zones
	Digest    string               `json:"digest,omitempty"` // of the list that the caller has cached; empty if none
	ID        string               `json:"id,omitempty"`
	Percent   int                  `json:"percent,omitempty"`
	Task      *provider.TaskFields `json:"task,omitempty"`
}

// Answer is the body of every answer; Error is empty on success.
type Answer struct {
	Error     string                     `json:"error,omitempty"` // name of the error type, such as "conflict"
	Text      string                     `json:"text,omitempty"`
	Rows      []RowFields                `json:"rows,omitempty"`
	Body      []byte                     `json:"body,omitempty"`
	Instances []provider.InstanceFields  `json:"instances,omitempty"`
	Same      bool                       `json:"same,omitempty"` // the list has the digest in the call and is omitted
	Usage     []provider.UsageFields     `json:"usage,omitempty"`
	Status    provider.MaintenanceStatus `json:"status,omitempty"`
}

// errorKinds maps the error types to their names and HTTP statuses on the wire.
var errorKinds = []struct {
	name   string
	status int
	kind   *errorx.Type
}{
	{"conflict", http.StatusConflict, provider.ErrConflict},
	{"unavailable", http.StatusServiceUnavailable, provider.ErrUnavailable},
	{"unknown-outcome", http.StatusGatewayTimeout, provider.ErrUnknownOutcome},
	{"not-found", http.StatusNotFound, provider.ErrNotFound},
}

// ListDigest returns a digest of a list of instances; lists with equal digests are taken for equal.
func ListDigest(list []provider.Instance) string {
	digest := sha256.New()
	encoder := json.NewEncoder(digest)
	for _, i := range list {
		_ = encoder.Encode(i.Fields()) // cannot fail: strings and numbers always encode, and a hash accepts every write
	}
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

// EncodeError returns the HTTP status and the answer for an error of a platform. An error of any other type becomes
// "unknown-outcome", because the effect of the call is unknown.
func EncodeError(err error) (int, Answer) {
	for _, k := range errorKinds {
		if errorx.IsOfType(err, k.kind) {
			return k.status, Answer{Error: k.name, Text: err.Error()}
		}
	}
	return http.StatusInternalServerError, Answer{Error: "unknown-outcome", Text: err.Error()}
}

// decodeError returns the error that an answer carries, or nil.
func decodeError(path string, a Answer) error {
	if a.Error == "" {
		return nil
	}
	for _, k := range errorKinds {
		if k.name == a.Error {
			return k.kind.New("%s: %s", path, a.Text)
		}
	}
	return provider.ErrUnknownOutcome.New("%s: unknown error %q: %s", path, a.Error, a.Text)
}
