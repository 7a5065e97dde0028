package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"magnoliaferry/clock"
)

// MaxAnswer is the size in bytes up to which the header and body of an answer are recorded.
const MaxAnswer = 64 << 10

// keyPrefix is the prefix of the keys of all claims.
const keyPrefix = "claim/"

// rowKey returns the row key of a claim. The parts are escaped, so that no two claims have the same row.
func rowKey(caller, key string) string {
	return keyPrefix + url.PathEscape(caller) + "/" + url.PathEscape(key)
}

// Answer is the result of the run of a request.
type Answer struct {
	status  int
	header  http.Header
	body    []byte
	kept    bool
	unknown bool
}

// NewAnswer returns the complete answer of a worker. Its header and body must not be changed afterwards.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body, kept: true}
}

// TooLargeAnswer returns an answer whose body is not recorded, for example because it was streamed.
func TooLargeAnswer(status int) Answer { return Answer{status: status} }

// UnknownAnswer returns the answer of a request that was sent and whose outcome is unknown.
func UnknownAnswer() Answer { return Answer{unknown: true} }

// Status returns the HTTP status, 0 for an UnknownAnswer.
func (a Answer) Status() int { return a.status }

// Header returns the HTTP header, nil if it is not recorded.
func (a Answer) Header() http.Header { return a.header }

// Body returns the body, nil if it is not recorded.
func (a Answer) Body() []byte { return a.body }

type rowState string

const (
	stateClaimed   rowState = "claimed"
	stateDone      rowState = "done"
	stateAbandoned rowState = "abandoned" // not run; the key may be claimed again
)

// row is the value of claim/<caller>/<key>.
type row struct {
	State       rowState     `json:"state"`
	Holder      string       `json:"holder"`
	Incarnation int64        `json:"incarnation"`
	Attempt     int64        `json:"attempt"` // number of the claim within the incarnation
	Fingerprint string       `json:"fingerprint,omitempty"`
	Written     clock.Millis `json:"written-ms"` // wall clock of the holder, since 1970
	Status      int          `json:"status,omitempty"`
	Header      http.Header  `json:"header,omitempty"`
	Body        []byte       `json:"body,omitempty"`
	NotKept     bool         `json:"answer-not-kept,omitempty"`
}

// sameAttempt reports whether both rows belong to the same attempt to claim. Comparing the holder is not enough,
// because an earlier attempt of the same holder may have run.
func (r row) sameAttempt(o row) bool {
	return r.Holder == o.Holder && r.Incarnation == o.Incarnation && r.Attempt == o.Attempt
}

func (r row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers, strings and bytes always encode
	}
	return value
}

func decodeRow(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, fmt.Errorf("decoding claim row: %w", err)
	}
	return r, nil
}

// withAnswer returns the row in the state done, without the header and body if they are not recorded.
func (r row) withAnswer(a Answer) row {
	r.State, r.Status, r.Header, r.Body = stateDone, a.status, a.header, a.body
	if !a.kept || r.size() > MaxAnswer+rowOverhead {
		r.Header, r.Body, r.NotKept = nil, nil, true
	}
	return r
}

// rowOverhead is the approximate size in bytes of a row without an answer.
const rowOverhead = 256

// size returns the approximate size of the row in bytes.
func (r row) size() int {
	size := rowOverhead + len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}
