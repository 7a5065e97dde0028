package standin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// maxEntries is the largest number of conditions, puts and deletes in a transaction, as on the platform.
const maxEntries = 100

// maxTransactionBytes limits the body of a transaction, as on the platform.
const maxTransactionBytes = 1 << 20

// Rows serves a Table over HTTP in the format of the users' platform. Exported fields are set before the first request.
type Rows struct {
	Table *Table
	// Slow, if set, returns a delay for each transaction. The transaction is applied even if the client disconnects meanwhile.
	Slow func() clock.Millis
	// Applied, if set, is called after a transaction is applied and before it is answered.
	Applied func(tx store.Transaction)
}

type rowFields struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type pageFields struct {
	Rows    []rowFields `json:"rows"`
	More    bool        `json:"hasMore"`
	Version int64       `json:"ver"`
}

func encodePage(page store.Page) pageFields {
	fields := pageFields{More: page.More, Version: page.Version, Rows: make([]rowFields, len(page.Rows))}
	for i, r := range page.Rows {
		fields.Rows[i] = rowFields{r.Table, r.Part, r.Key, r.Value, r.Version, r.Deleted}
	}
	return fields
}

// ServeHTTP implements http.Handler.
func (s *Rows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.commit(w, r)
	case "GET /rows-get":
		page, err := s.Table.Range(r.Context(), query.Get("table"), query.Get("part"), query.Get("from"))
		answerPage(w, page, err)
	case "GET /rows-parts":
		parts, more, err := s.Table.Parts(r.Context(), query.Get("table"), query.Get("after"))
		if err != nil {
			answerError(w, err)
			return
		}
		reply(w, http.StatusOK, struct {
			Parts []string `json:"parts"`
			More  bool     `json:"hasMore"`
		}{parts, more})
	case "GET /rows-feed":
		after, err := strconv.ParseInt(query.Get("after"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		wait, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		page, err := s.Table.Feed(r.Context(), query.Get("table"), after, clock.Millis(wait))
		answerPage(w, page, err)
	default:
		http.NotFound(w, r)
	}
}

func (s *Rows) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []rowFields `json:"precondition"`
		Puts       []rowFields `json:"puts"`
		Deletes    []rowFields `json:"drops"`
		Across     bool        `json:"across"`
	}
	if !decode(w, r, maxTransactionBytes, &body) {
		return
	}
	var tx store.Transaction
	for _, c := range body.Conditions {
		tx.Conditions = append(tx.Conditions, store.Condition{Table: c.Table, Part: c.Part, Key: c.Key, Version: c.Version})
	}
	parts := map[string]bool{}
	for _, c := range append(append(body.Conditions, body.Puts...), body.Deletes...) {
		parts[c.Part] = true
	}
	if n := len(body.Conditions) + len(body.Puts) + len(body.Deletes); n > maxEntries || (len(parts) > 1 && !body.Across) {
		http.Error(w, "too many entries, or several parts", http.StatusBadRequest)
		return
	}
	for _, p := range body.Puts {
		tx.Puts = append(tx.Puts, store.Row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range body.Deletes {
		tx.Deletes = append(tx.Deletes, store.Row{Table: d.Table, Part: d.Part, Key: d.Key})
	}
	if err := checkSize(tx); err != nil {
		answerError(w, err)
		return
	}
	if s.Slow != nil {
		_ = clock.System().Sleep(context.Background(), s.Slow()) // a background context is never cancelled
	}
	result, err := s.Table.Commit(r.Context(), tx)
	if err != nil {
		answerError(w, err)
		return
	}
	status := http.StatusOK
	switch {
	case !result.Applied:
		status = http.StatusPreconditionFailed
	case s.Applied != nil:
		s.Applied(tx)
	}
	reply(w, status, encodePage(store.Page{Rows: result.Current, Version: result.Version}))
}

func answerPage(w http.ResponseWriter, page store.Page, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	reply(w, http.StatusOK, encodePage(page))
}

// checkSize returns store.ErrInvalid for a transaction that the platform's store would refuse for its size.
func checkSize(tx store.Transaction) error {
	total := 0
	for _, row := range tx.Puts {
		if len(row.Value) > store.MaxRowBytes {
			return store.ErrInvalid.New("row %q has %d bytes, at most %d are allowed", row.Key, len(row.Value), store.MaxRowBytes)
		}
		total += base64.StdEncoding.EncodedLen(len(row.Value))
	}
	if total > store.MaxTransactionBytes {
		return store.ErrInvalid.New("the transaction has %d bytes, at most %d are allowed", total, store.MaxTransactionBytes)
	}
	return nil
}

// answerError answers a failed call as the platform does. A call with an unknown outcome gets no answer: the connection is
// closed.
func answerError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, store.ErrHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
	case errorx.IsOfType(err, store.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errorx.IsOfType(err, store.ErrRejected):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// encodeJSON encodes a value that the stand-in built itself; it panics if that fails.
func encodeJSON(content any) []byte {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(errors.Join(errors.New("standin: encode JSON"), err))
	}
	return encoded
}
