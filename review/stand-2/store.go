package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

const (
	rowBytes         = 65536               // largest value of a row: rowBytes of the settings file
	transactionTime  = 8 * clock.Millis(1) // txMs
	maxTransaction   = 1 << 20             // bytes of a call
	feedRows         = 500                 // rows in an answer of a feed
	transactionsPath = "/rows-tx"
)

// rowStore is the platform's store: the project's stand-in, with the limit on the size of a row and with writes that get no answer and are
// carried out later.
type rowStore struct {
	rows *standin.Rows
	rec  *record

	mu      sync.Mutex
	late    func(keys []string) (after time.Duration, late bool) // nil: no write is late
	down    bool                                                 // every call is answered with 503
	refused int                                                  // transactions refused for the size of a row
}

func newRowStore(table *standin.Table, rec *record) *rowStore {
	return &rowStore{rows: &standin.Rows{Table: table, Slow: func() clock.Millis { return transactionTime }}, rec: rec}
}

// setLate sets which writes are late, by the keys that they put.
func (s *rowStore) setLate(late func(keys []string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// setDown sets whether the store answers every call with 503.
func (s *rowStore) setDown(down bool) {
	s.rec.add("store down: %t", down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP implements http.Handler.
func (s *rowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != transactionsPath {
		s.rows.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTransaction+1))
	if err != nil {
		return // the client has disconnected
	}
	var tx struct {
		Puts []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if err := json.Unmarshal(body, &tx); err != nil || len(body) > maxTransaction {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	var keys []string
	for _, put := range tx.Puts {
		keys = append(keys, put.Table+" "+put.Key)
		if len(put.Value) > rowBytes {
			s.refuseRow(put.Table+" "+put.Key, len(put.Value))
			http.Error(w, "a row is too large", http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if after, isLate := late(keys); isLate {
			s.carryOutLate(r, body, keys, after)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.rows.ServeHTTP(w, r)
}

func (s *rowStore) refuseRow(key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if s.refused <= 20 {
		s.rec.add("store: 400, row %q has %d bytes, at most %d are allowed", key, size, rowBytes)
	}
}

func (s *rowStore) refusedRows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// carryOutLate carries out a write later if its conditions still hold.
func (s *rowStore) carryOutLate(r *http.Request, body []byte, keys []string, after time.Duration) {
	s.rec.add("store: no answer to the write of %s; it is carried out in %d ms", strings.Join(keys, ", "), after.Milliseconds())
	time.AfterFunc(after, func() {
		again, err := http.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(body))
		if err != nil {
			s.rec.add("store: the late write cannot be repeated: %v", err)
			return
		}
		answer := &discardedAnswer{header: http.Header{}}
		s.rows.ServeHTTP(answer, again)
		s.rec.add("store: late write of %s carried out, status %d", strings.Join(keys, ", "), answer.status)
	})
}

// discardedAnswer is a http.ResponseWriter that keeps only the status.
type discardedAnswer struct {
	header http.Header
	status int
}

func (a *discardedAnswer) Header() http.Header         { return a.header }
func (a *discardedAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (a *discardedAnswer) WriteHeader(status int)      { a.status = status }
