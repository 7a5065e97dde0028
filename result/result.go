package result

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"sync"

	"magnoliaferry/clock"
)

// Outcome states whether a request was run.
type Outcome string

// The outcomes. NotRun is used only when it is certain that the request did not run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Code is one numbered result; each package declares its codes with New. docs/result-codes.md lists all codes.
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

// New declares a code and registers it for All; status is the HTTP status. It panics when the number is already in use.
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

// All returns all declared codes, sorted by number.
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

// Status returns the HTTP status of answers with the code.
func (c *Code) Status() int { return c.status }

// Outcome returns whether a request that is answered with the code was run.
func (c *Code) Outcome() Outcome { return c.outcome }

// Text returns the general explanation of the code, which is the same for every request.
func (c *Code) Text() string { return c.text }

// Refusal is an error answer to one request of a caller or operator: a code with the details of this request. Despite
// its name it can have any outcome, including an unknown one.
type Refusal struct {
	code       *Code
	detail     string
	retryAfter clock.Millis
	contact    string
}

// Refuse returns a refusal; retryAfter is in milliseconds, and 0 means that a retry without any other change does not
// help.
func Refuse(code *Code, detail string, retryAfter clock.Millis) *Refusal {
	return &Refusal{code: code, detail: detail, retryAfter: retryAfter}
}

// WithContact returns a copy of the refusal with the operator contact of the pool.
func (r *Refusal) WithContact(contact string) *Refusal {
	withContact := *r
	withContact.contact = contact
	return &withContact
}

// Code returns the result code.
func (r *Refusal) Code() *Code { return r.code }

// Detail returns the explanation for this request.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns the time in milliseconds after which a retry can succeed, or 0 when a retry does not help.
func (r *Refusal) RetryAfter() clock.Millis { return r.retryAfter }

// Contact returns the operator contact, or "" when none is set.
func (r *Refusal) Contact() string { return r.contact }

// Error formats the refusal for logs and command lines.
func (r *Refusal) Error() string {
	return "MF" + strconv.Itoa(r.code.number) + " " + r.code.name + ": " + r.detail
}

// MarshalJSON returns the body of the answer to callers and operators.
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
