package operator

import (
	"encoding/json"
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/diag"
	"magnoliaferry/result"
)

// ProblemFields is the JSON body of a refusal: the fields of a result.Refusal and the numbers that led to it, by name.
type ProblemFields struct {
	Code        int                `json:"code"`
	Name        string             `json:"name"`
	Outcome     result.Outcome     `json:"outcome"`
	RetryAfter  clock.Millis       `json:"retry-after-ms"`
	Contact     string             `json:"contact"`
	Text        string             `json:"text"` // rule by which the call is refused
	Detail      string             `json:"detail"`
	Figures     map[string]int64   `json:"figures,omitempty"`
	Operation   string             `json:"operation,omitempty"`
	Current     *VersionFields     `json:"current,omitempty"`     // for a conflict: the version in force
	Changes     []config.Change    `json:"changes,omitempty"`     // for a conflict: from the configuration in force to the submitted one
	Diagnostics []DiagnosticFields `json:"diagnostics,omitempty"` // for an invalid configuration
}

// DiagnosticFields is the JSON form of a diag.Diagnostic.
type DiagnosticFields struct {
	Code diag.Code `json:"code"`
	File string    `json:"file"`
	Line int       `json:"line"`
	Path string    `json:"path"`
	Text string    `json:"text"`
}

// Problem is the error of a call to the operator API: a refusal, or the client's report that the call failed.
type Problem struct {
	f      ProblemFields
	status int
}

// refuse returns the problem of a result code with an explanation for this call and the figures behind it, if any.
func refuse(code *result.Code, figures map[string]int64, format string, arguments ...any) *Problem {
	return fromRefusal(result.Refuse(code, fmt.Sprintf(format, arguments...), 0), figures)
}

func fromRefusal(r *result.Refusal, figures map[string]int64) *Problem {
	c := r.Code()
	return &Problem{status: c.Status(), f: ProblemFields{Code: c.Number(), Name: c.Name(), Outcome: c.Outcome(),
		RetryAfter: r.RetryAfter(), Contact: r.Contact(), Text: c.Text(), Detail: r.Detail(), Figures: figures}}
}

// withRetryAfter sets the time after which a repeat can succeed and returns p.
func (p *Problem) withRetryAfter(after clock.Millis) *Problem { p.f.RetryAfter = after; return p }

func (p *Problem) withOperation(id string) *Problem { p.f.Operation = id; return p }

// Fields returns a copy of the values.
func (p *Problem) Fields() ProblemFields { return p.f }

// Code returns the number of the result code.
func (p *Problem) Code() int { return p.f.Code }

// Outcome returns what is known about the effect of the call.
func (p *Problem) Outcome() result.Outcome { return p.f.Outcome }

// Detail returns the explanation for the refusal of this call.
func (p *Problem) Detail() string { return p.f.Detail }

// Operation returns the id under which a submission can be repeated, or "".
func (p *Problem) Operation() string { return p.f.Operation }

// Current returns, for a conflict, the version in force; false for any other problem.
func (p *Problem) Current() (Version, bool) {
	if p.f.Current == nil {
		return Version{}, false
	}
	return Version{*p.f.Current}, true
}

// Changes returns, for a conflict, what the refused submission would change in the configuration in force.
func (p *Problem) Changes() []config.Change { return p.f.Changes }

// Diagnostics returns the faults of an invalid configuration.
func (p *Problem) Diagnostics() diag.List {
	var list diag.List
	for _, d := range p.f.Diagnostics {
		list.Add(diag.New(d.Code, d.File, d.Line, d.Path, d.Text))
	}
	return list
}

func diagnosticFields(list diag.List) []DiagnosticFields {
	var fields []DiagnosticFields
	for _, d := range list.All() {
		fields = append(fields, DiagnosticFields{d.Code(), d.File(), d.Line(), d.Path(), d.Text()})
	}
	return fields
}

// Error formats the problem for logs and command lines.
func (p *Problem) Error() string {
	return fmt.Sprintf("MF%d %s (%s): %s: %s", p.f.Code, p.f.Name, p.f.Outcome, p.f.Text, p.f.Detail)
}

// MarshalJSON encodes the problem as its ProblemFields, which are the body of the answer.
func (p *Problem) MarshalJSON() ([]byte, error) { return json.Marshal(p.f) }

func unavailable(code *result.Code, err error) *Problem {
	return refuse(code, nil, "%v", err).withRetryAfter(retryAfter)
}
