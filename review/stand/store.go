package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as its pages state them.
const (
	maxEntries     = 100
	maxCallBytes   = 1 << 20
	maxRowBytes    = 65536 // of a value; the decoded one is measured, which is the milder reading
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	maxFeedWait    = 30 * time.Second
	transactTime   = 8 * time.Millisecond
	maxParts       = 1000
	tableOperator  = "op"
	tableWorkers   = "servers"
	statusTooLarge = http.StatusBadRequest
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

func (r *row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// platformStore is a stand-in of the platform's store that keeps all its history.
type platformStore struct {
	record *record

	mu       sync.Mutex
	version  int64
	rows     map[rowName]row
	history  []row
	changed  chan struct{} // closed and replaced with each change
	rejected map[string]int
	started  time.Time
}

func newStore(r *record) *platformStore {
	return &platformStore{record: r, rows: map[rowName]row{}, changed: make(chan struct{}), rejected: map[string]int{}, started: time.Now()}
}

// put writes a row with an empty part, as operators and workers do.
func (s *platformStore) put(table, key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// remove deletes a row with an empty part.
func (s *platformStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply applies a transaction. s.mu is held.
func (s *platformStore) apply(puts, drops []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[r.name()] = r
		s.history = append(s.history, r)
	}
	for _, r := range drops {
		if _, ok := s.rows[r.name()]; ok {
			delete(s.rows, r.name())
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"ver"`
	Now     int64 `json:"nowMs"`
}

func (s *platformStore) page(rows []row, more bool, version int64) page {
	if rows == nil {
		rows = []row{}
	}
	return page{rows, more, version, time.Since(s.started).Milliseconds()}
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.transact(w, r)
	case "GET /rows-get":
		s.get(w, query.Get("table"), query.Get("part"), query.Get("from"))
	case "GET /rows-parts":
		s.parts(w, query.Get("table"), query.Get("after"))
	case "GET /rows-feed":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		s.feed(w, r, query.Get("table"), after, min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	default:
		http.NotFound(w, r)
	}
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Drops      []row `json:"drops"`
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return // the instance has disconnected
	}
	if err := json.Unmarshal(content, &body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if reason := check(len(content), body.Conditions, body.Puts, body.Drops); reason != "" {
		s.mu.Lock()
		s.rejected[reason]++
		if s.rejected[reason] <= 5 {
			s.record.add("store: a transaction is refused with %d: %s", statusTooLarge, reason)
		}
		s.mu.Unlock()
		answer(w, statusTooLarge, struct{}{})
		return
	}
	time.Sleep(transactTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, c := range body.Conditions {
		known, ok := s.rows[c.name()]
		if ok {
			current = append(current, known)
		}
		holds = holds && known.Version == c.Version
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, s.page(current, false, s.version))
		return
	}
	s.apply(body.Puts, body.Drops)
	answer(w, http.StatusOK, s.page(nil, false, s.version))
}

// check returns why the store refuses a transaction, or "".
func check(size int, conditions, puts, drops []row) string {
	parts := map[string]bool{}
	for _, list := range [][]row{conditions, puts, drops} {
		for i := range list {
			parts[list[i].Part] = true
		}
	}
	switch {
	case len(conditions)+len(puts)+len(drops) > maxEntries:
		return "more than 100 entries"
	case size > maxCallBytes:
		return "more than 1 MB"
	case len(parts) > 1:
		return "several parts"
	}
	for i := range puts {
		if len(puts[i].Value) > maxRowBytes {
			return "a value of table " + puts[i].Table + " has more than 65536 bytes"
		}
		if puts[i].Table == tableOperator || puts[i].Table == tableWorkers {
			return "a table that the system may not write"
		}
	}
	return ""
}

func (s *platformStore) get(w http.ResponseWriter, table, part, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for name, r := range s.rows {
		if name.table == table && name.part == part && name.key >= from {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	size := 0
	for i := range rows {
		size += len(rows[i].Value)
		if i > 0 && (i >= maxPageRows || size > maxPageBytes) {
			answer(w, http.StatusOK, s.page(rows[:i], true, s.version))
			return
		}
	}
	answer(w, http.StatusOK, s.page(rows, false, s.version))
}

func (s *platformStore) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.rows {
		if name.table == table && (name.part > after || after == "") && !slices.Contains(names, name.part) {
			names = append(names, name.part)
		}
	}
	slices.Sort(names)
	more := len(names) > maxParts
	answer(w, http.StatusOK, struct {
		Parts []string `json:"parts"`
		More  bool     `json:"hasMore"`
	}{names[:min(len(names), maxParts)], more})
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var rows []row
		version := s.version
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, change := range s.history[first:] {
			if change.Table != table {
				continue
			}
			if last := len(rows) - 1; last+1 >= maxPageRows && rows[last].Version < change.Version {
				version = rows[last].Version
				break
			}
			rows = append(rows, change)
		}
		changed := s.changed
		answerPage := s.page(rows, version < s.version, version)
		s.mu.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, answerPage)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, answerPage)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // a failure means that the peer has disconnected
}
