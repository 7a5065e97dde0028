package result

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"sync"

	"magnoliaferry/clock"
)

// Outcome says what is known about the run of a request.
type Outcome string

// The outcomes. NotRun is used only where it is certain.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Code is one numbered result; packages declare theirs with New and docs/result-codes.md lists all.
type Code struct {
	number  int
	name    string
	status  int
	outcome Outcome
	text    string
}

var (
	registryMu sync.Mutex
	registry   = map[int]*Code{}
)

// New declares a code with its HTTP status; it panics when the number is taken.
func New(number int, name string, status int, outcome Outcome, text string) *Code {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, exists := registry[number]; exists {
		panic(fmt.Sprintf("result: code %d is declared twice", number))
	}
	c := &Code{number: number, name: name, status: status, outcome: outcome, text: text}
	registry[number] = c
	return c
}

// All returns every declared code by number.
func All() []*Code {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := make([]*Code, 0, len(registry))
	for _, c := range registry {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	return all
}

// Number returns the code's number.
func (c *Code) Number() int { return c.number }

// Name returns the code's name in kebab case.
func (c *Code) Name() string { return c.name }

// Status returns the HTTP status that goes with the code.
func (c *Code) Status() int { return c.status }

// Outcome returns what the code says about the run of the request.
func (c *Code) Outcome() Outcome { return c.outcome }

// Text returns the general explanation.
func (c *Code) Text() string { return c.text }

// Refusal is a code for one request, with the details the caller needs; it is an error.
type Refusal struct {
	code       *Code
	detail     string
	retryAfter clock.Millis
	contact    string
}

// Refuse returns a refusal; retryAfter 0 says that a repeat will not help by itself.
func Refuse(code *Code, detail string, retryAfter clock.Millis) *Refusal {
	return &Refusal{code: code, detail: detail, retryAfter: retryAfter}
}

// WithContact returns a copy that names the operator contact of the pool.
func (r *Refusal) WithContact(contact string) *Refusal {
	withContact := *r
	withContact.contact = contact
	return &withContact
}

// Code returns the numbered code.
func (r *Refusal) Code() *Code { return r.code }

// Detail returns the explanation for this request.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns after how many milliseconds a repeat can succeed, or 0.
func (r *Refusal) RetryAfter() clock.Millis { return r.retryAfter }

// Contact returns the operator contact.
func (r *Refusal) Contact() string { return r.contact }

// Error formats the refusal for logs and command lines.
func (r *Refusal) Error() string {
	return "MF" + strconv.Itoa(r.code.number) + " " + r.code.name + ": " + r.detail
}

// MarshalJSON writes the body that callers and operators receive.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Code       int          `json:"code"`
		Name       string       `json:"name"`
		Outcome    Outcome      `json:"outcome"`
		RetryAfter clock.Millis `json:"retry-after-ms"`
		Contact    string       `json:"contact"`
		Text       string       `json:"text"`
		Detail     string       `json:"detail"`
	}{r.code.number, r.code.name, r.code.outcome, r.retryAfter, r.contact, r.code.text, r.detail})
}
