package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// Prefix is the path under which the API is mounted.
const Prefix = "/operator/v1/"

// Identity identifies the operator who makes a call; ok is false when no operator is identified.
type Identity interface {
	Identify(r *http.Request) (operator string, ok bool)
}

// Certificate is the Identity that takes the common name of a verified TLS client certificate.
type Certificate struct{}

// Identify implements Identity.
func (Certificate) Identify(r *http.Request) (string, bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 || len(r.TLS.VerifiedChains[0]) == 0 {
		return "", false
	}
	name := r.TLS.VerifiedChains[0][0].Subject.CommonName
	return name, name != "" && len(name) <= maxOperatorName
}

// maxOperatorName bounds the name of an operator in bytes, because it is stored in the row that every process polls. X.509 allows
// common names of 64 characters.
const maxOperatorName = 128

// Server serves the HTTP API for operators. Clock and Store are required. Calls that need a nil Reporter, Drainer, Waves or
// Jobs are refused with CodeNotAvailable.
type Server struct {
	Clock    *clock.Clock
	Store    *Store
	Identity Identity // nil refuses every call
	Reporter Reporter
	Drainer  Drainer
	Waves    Waves
	Jobs     Jobs
	Logger   *slog.Logger // may be nil

	// decodeMutex limits decoding to one body at a time, because decoding a faulty body can allocate 79 MB.
	decodeMutex sync.Mutex
}

// Handler returns the handler for every path under Prefix.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h func(call) (any, *Problem)) { mux.Handle(pattern, s.wrap(h)) }
	handle("GET "+Prefix+"configuration", s.current)
	handle("POST "+Prefix+"configuration", s.submit)
	handle("POST "+Prefix+"check", s.check)
	handle("POST "+Prefix+"diff", s.diff)
	handle("GET "+Prefix+"status", s.status)
	handle("POST "+Prefix+"instances/{instance}/drain", s.drain)
	handle("POST "+Prefix+"waves/{pool}/{action}", s.wave)
	handle("GET "+Prefix+"jobs", s.listJobs)
	handle("GET "+Prefix+"jobs/{job}", s.showJob)
	handle("POST "+Prefix+"jobs/{job}/cancel", s.cancelJob)
	handle(Prefix, func(c call) (any, *Problem) {
		return nil, refuse(CodeNotFound, nil, "no call %s %s", c.Method, c.URL.Path)
	})
	return mux
}

// call is one request of an identified operator.
type call struct {
	*http.Request
	operator string
}

// wrap returns a handler that identifies the operator before anything else, calls h and writes the answer or refusal.
func (s *Server) wrap(h func(call) (any, *Problem)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, p := s.callIdentified(w, r, h)
		w.Header().Set("Content-Type", "application/json")
		if p == nil {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		eventRefused.Log(r.Context(), s.Logger, slog.Int("code", p.f.Code), slog.String("path", r.URL.Path),
			slog.String("detail", p.f.Detail))
		w.Header().Set("Magnoliaferry-Result", strconv.Itoa(p.f.Code))
		w.Header().Set("Magnoliaferry-Outcome", string(p.f.Outcome))
		if p.f.Contact != "" {
			w.Header().Set("Magnoliaferry-Contact", p.f.Contact)
		}
		if p.f.RetryAfter > 0 {
			seconds := (p.f.RetryAfter + clock.Second - 1) / clock.Second
			w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		}
		writeJSON(w, p.status, p)
	})
}

func (s *Server) callIdentified(w http.ResponseWriter, r *http.Request, h func(call) (any, *Problem)) (any, *Problem) {
	if s.Identity == nil {
		return nil, refuse(CodeNoIdentity, nil, "this server cannot identify operators")
	}
	name, ok := s.Identity.Identify(r)
	if !ok {
		return nil, refuse(CodeNoIdentity, nil, "the connection has no verified client certificate with a common name")
	}
	r.Body = http.MaxBytesReader(w, r.Body, config.MaxBody)
	return h(call{r, name})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		status, encoded = http.StatusInternalServerError, []byte("{}")
	}
	w.WriteHeader(status)
	w.Write(append(encoded, '\n')) // a write fails only when the connection is closed
}

// configuration reads and decodes the body of a call.
func (s *Server) configuration(c call) (*config.Configuration, *Problem) {
	body, err := io.ReadAll(c.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(CodeBodyTooLarge, map[string]int64{"limit-bytes": tooLarge.Limit},
			"the body is longer than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refuse(CodeMalformed, nil, "the body ended early: %v", err)
	}
	file := c.URL.Query().Get("file")
	if file == "" {
		file = "body"
	}
	s.decodeMutex.Lock()
	decoded, faults := config.Decode(file, body)
	s.decodeMutex.Unlock()
	if faults.Len() > 0 {
		p := refuse(CodeInvalidConfiguration, map[string]int64{"faults": int64(faults.Len())}, "%d faults",
			faults.Len())
		p.f.Diagnostics = diagnosticFields(faults)
		return nil, p
	}
	return decoded, nil
}

// CurrentFields is the JSON form of the configuration in force.
type CurrentFields struct {
	VersionFields
	Body json.RawMessage `json:"body"` // canonical apart from white space
}

func (s *Server) current(c call) (any, *Problem) {
	v, configuration, p := s.Store.Current(c.Context())
	if p != nil {
		return nil, p
	}
	return CurrentFields{v.f, config.Encode(configuration)}, nil
}

func (s *Server) submit(c call) (any, *Problem) {
	query := c.URL.Query()
	seen, err := strconv.ParseInt(query.Get("seen-version"), 10, 64)
	if err != nil || seen < 0 {
		return nil, refuse(CodeMalformed, nil, "seen-version is %q and must be the version in force, or 0 for none",
			query.Get("seen-version"))
	}
	operation := query.Get("operation")
	if operation == "" {
		operation = uuid.NewString()
	} else if _, err := uuid.Parse(operation); err != nil {
		return nil, refuse(CodeMalformed, nil, "operation is %q and must be a UUID", operation)
	}
	configuration, p := s.configuration(c)
	if p != nil {
		return nil, p
	}
	v, p := s.Store.Submit(c.Context(), Submission{Operation: operation, Operator: c.operator, Seen: seen,
		Repeat: query.Get("repeat") == "true", Configuration: configuration})
	if p != nil {
		return nil, p
	}
	if v.Unchanged() {
		return v.f, nil
	}
	eventAccepted.Log(c.Context(), s.Logger, slog.Int64("version", v.f.Version), slog.String("digest", v.f.Digest),
		slog.String("operator", v.f.Operator), slog.String("operation", v.f.Operation))
	return v.f, nil
}

// CheckFields is the JSON answer for a configuration without faults.
type CheckFields struct {
	Digest string `json:"digest"`
}

func (s *Server) check(c call) (any, *Problem) {
	configuration, p := s.configuration(c)
	if p != nil {
		return nil, p
	}
	return CheckFields{config.Digest(configuration)}, nil
}

// DiffFields is the JSON answer for a difference from the configuration in force.
type DiffFields struct {
	Version int64           `json:"version"` // in force; 0 for none
	Changes []config.Change `json:"changes"`
}

func (s *Server) diff(c call) (any, *Problem) {
	configuration, p := s.configuration(c)
	if p != nil {
		return nil, p
	}
	v, current, p := s.Store.Current(c.Context())
	if p != nil && p.f.Code != CodeNoConfiguration.Number() {
		return nil, p
	}
	changes := config.Diff(current, configuration)
	if changes == nil {
		changes = []config.Change{}
	}
	return DiffFields{v.f.Version, changes}, nil
}

func (s *Server) status(c call) (any, *Problem) {
	if s.Reporter == nil {
		return nil, notAvailable("status")
	}
	status, err := s.Reporter.Report(c.Context())
	return status, readProblem(err)
}

func (s *Server) drain(c call) (any, *Problem) {
	if s.Drainer == nil {
		return nil, notAvailable("drain")
	}
	instance, force := c.PathValue("instance"), c.URL.Query().Get("force") == "true"
	return s.order(c, "drain", instance, func(ctx context.Context) error {
		return s.Drainer.DrainInstance(ctx, c.operator, instance, force)
	})
}

func (s *Server) wave(c call) (any, *Problem) {
	if s.Waves == nil {
		return nil, notAvailable("waves")
	}
	actions := map[string]func(ctx context.Context, operator, pool string) error{"start": s.Waves.StartWave,
		"pause": s.Waves.PauseWave, "resume": s.Waves.ResumeWave, "stop": s.Waves.StopWave}
	name, pool := c.PathValue("action"), c.PathValue("pool")
	action, ok := actions[name]
	if !ok {
		return nil, refuse(CodeMalformed, nil, "%q is not start, pause, resume or stop", name)
	}
	return s.order(c, "wave "+name, pool, func(ctx context.Context) error { return action(ctx, c.operator, pool) })
}

func (s *Server) listJobs(c call) (any, *Problem) {
	if s.Jobs == nil {
		return nil, notAvailable("jobs")
	}
	list, err := s.Jobs.ListJobs(c.Context())
	if list == nil {
		list = []JobFields{}
	}
	return list, readProblem(err)
}

func (s *Server) showJob(c call) (any, *Problem) {
	if s.Jobs == nil {
		return nil, notAvailable("jobs")
	}
	job, err := s.Jobs.ShowJob(c.Context(), c.PathValue("job"))
	return job, readProblem(err)
}

func (s *Server) cancelJob(c call) (any, *Problem) {
	if s.Jobs == nil {
		return nil, notAvailable("jobs")
	}
	job := c.PathValue("job")
	return s.order(c, "cancel", job, func(ctx context.Context) error { return s.Jobs.CancelJob(ctx, c.operator, job) })
}

// OrderFields is the JSON answer for an order that was carried out or recorded.
type OrderFields struct {
	Order    string `json:"order"`
	Target   string `json:"target"`
	Operator string `json:"operator"`
}

// order carries out a call that changes state. It continues after the client has disconnected, up to storeTimeout.
func (s *Server) order(c call, name, target string, carryOut func(ctx context.Context) error) (any, *Problem) {
	ctx, cancel := s.Clock.WithTimeout(context.WithoutCancel(c.Context()), storeTimeout)
	defer cancel()
	if err := carryOut(ctx); err != nil {
		return nil, orderProblem(err)
	}
	eventOrder.Log(ctx, s.Logger, slog.String("order", name), slog.String("target", target),
		slog.String("operator", c.operator))
	return OrderFields{name, target, c.operator}, nil
}

func notAvailable(part string) *Problem {
	return refuse(CodeNotAvailable, nil, "%s is not set up in this process", part)
}

// readProblem classifies the error of a call that changes nothing.
func readProblem(err error) *Problem {
	var r *result.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &r):
		return fromRefusal(r, nil)
	case errorx.IsOfType(err, provider.ErrNotFound):
		return refuse(CodeNotFound, nil, "%v", err)
	}
	return unavailable(CodeTableUnavailable, err)
}

// orderProblem classifies the error of an order. The outcome is not-run only if the order certainly had no effect.
func orderProblem(err error) *Problem {
	var r *result.Refusal
	switch {
	case errors.As(err, &r):
		return fromRefusal(r, nil)
	case errorx.IsOfType(err, provider.ErrNotFound):
		return refuse(CodeNotFound, nil, "%v", err)
	case errorx.IsOfType(err, provider.ErrUnavailable):
		return unavailable(CodeTableUnavailable, err)
	}
	return refuse(CodeOutcomeUnknown, nil, "%v", err).withRetryAfter(retryAfter)
}
