package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"magnoliaferry/config"
)

const (
	// clientTimeout exceeds storeTimeout, so that the server answers that the platform timed out before the client gives up.
	clientTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer in bytes: a configuration in indented form, with its envelope.
	maxAnswerBytes = 4 * config.MaxBody
	// submitTries bounds how often a submission is sent while its answers are lost.
	submitTries = 3
)

// Client calls the operator API of one entry instance. The errors of its methods are of type *Problem.
type Client struct {
	Address string       // scheme, IP address and port, for example "https://192.0.2.1:7443"
	HTTP    *http.Client // see NewHTTPClient
}

// NewHTTPClient returns a client that authenticates itself with the certificate and its key and trusts only servers
// whose certificate the authority signed. All three are names of PEM files.
func NewHTTPClient(certificate, key, authority string) (*http.Client, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("client certificate and key: %w", err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certificate authority: %s holds no certificate", authority)
	}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: roots, MinVersion: tls.VersionTLS12}}}, nil
}

// Submit submits the configuration in body on the condition that the version seen is in force. When an answer is lost it
// repeats the call with the same operation id. Its errors are of type *Problem. The operation is empty for a new
// submission, or the id of an earlier one whose outcome is unknown.
func (c *Client) Submit(ctx context.Context, file string, body []byte, seen int64, operation string) (Version, error) {
	repeat := operation != ""
	if operation == "" {
		operation = uuid.NewString()
	}
	var v VersionFields
	for try := 1; ; try++ {
		query := url.Values{"seen-version": {strconv.FormatInt(seen, 10)}, "operation": {operation}, "file": {file}}
		if repeat {
			query.Set("repeat", "true")
		}
		p := c.call(ctx, http.MethodPost, "configuration", query, body, &v)
		if p == nil {
			return Version{v}, nil
		}
		if repeat && p.f.Code == CodeUnreachable.Number() {
			p = refuse(CodeOutcomeUnknown, nil, "the repeat was not sent: %s", p.f.Detail)
		}
		if p.f.Operation == "" {
			p.f.Operation = operation
		}
		if p.f.Outcome != CodeOutcomeUnknown.Outcome() || try == submitTries || ctx.Err() != nil {
			return Version{}, p
		}
		repeat = true
	}
}

// Current returns the version in force and its configuration.
func (c *Client) Current(ctx context.Context) (Version, *config.Configuration, error) {
	var current CurrentFields
	if p := c.call(ctx, http.MethodGet, "configuration", nil, nil, &current); p != nil {
		return Version{}, nil, p
	}
	configuration, faults := config.Decode(c.Address, current.Body)
	if err := faults.Err(); err != nil {
		return Version{}, nil, refuse(CodeBadAnswer, nil, "%v", err)
	}
	return Version{current.VersionFields}, configuration, nil
}

// Check has the server check a configuration without storing it, and returns the digest.
func (c *Client) Check(ctx context.Context, file string, body []byte) (digest string, err error) {
	var checked CheckFields
	if p := c.call(ctx, http.MethodPost, "check", url.Values{"file": {file}}, body, &checked); p != nil {
		return "", p
	}
	return checked.Digest, nil
}

// Diff returns the number of the version in force and what the configuration in body would change in it.
func (c *Client) Diff(ctx context.Context, file string, body []byte) (version int64, changes []config.Change, err error) {
	var diff DiffFields
	if p := c.call(ctx, http.MethodPost, "diff", url.Values{"file": {file}}, body, &diff); p != nil {
		return 0, nil, p
	}
	return diff.Version, diff.Changes, nil
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (StatusFields, error) {
	var status StatusFields
	p := c.call(ctx, http.MethodGet, "status", nil, nil, &status)
	return status, errorOrNil(p)
}

// Drain takes an instance out of service. With force it does not wait for requests in flight; they are interrupted.
func (c *Client) Drain(ctx context.Context, instance string, force bool) (OrderFields, error) {
	return c.order(ctx, "instances/"+url.PathEscape(instance)+"/drain", url.Values{"force": {strconv.FormatBool(force)}})
}

// Wave controls the maintenance wave of a pool; action is start, pause, resume or stop.
func (c *Client) Wave(ctx context.Context, action, pool string) (OrderFields, error) {
	return c.order(ctx, "waves/"+url.PathEscape(pool)+"/"+url.PathEscape(action), nil)
}

// ListJobs returns the state of every job.
func (c *Client) ListJobs(ctx context.Context) ([]JobFields, error) {
	var list []JobFields
	p := c.call(ctx, http.MethodGet, "jobs", nil, nil, &list)
	return list, errorOrNil(p)
}

// ShowJob returns the state of a job.
func (c *Client) ShowJob(ctx context.Context, name string) (JobFields, error) {
	var job JobFields
	p := c.call(ctx, http.MethodGet, "jobs/"+url.PathEscape(name), nil, nil, &job)
	return job, errorOrNil(p)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, name string) (OrderFields, error) {
	return c.order(ctx, "jobs/"+url.PathEscape(name)+"/cancel", nil)
}

func (c *Client) order(ctx context.Context, path string, query url.Values) (OrderFields, error) {
	var order OrderFields
	p := c.call(ctx, http.MethodPost, path, query, nil, &order)
	return order, errorOrNil(p)
}

// errorOrNil keeps a nil *Problem from becoming a non-nil error.
func errorOrNil(p *Problem) error {
	if p == nil {
		return nil
	}
	return p
}

// call sends one request and decodes the answer. Without a connection the request was certainly not sent; any later
// failure leaves open whether the server carried it out.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) *Problem {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, c.Address+Prefix+path+"?"+query.Encode(),
		bytes.NewReader(body))
	if err != nil {
		return refuse(CodeUnreachable, nil, "%v", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		if !connected.Load() {
			return refuse(CodeUnreachable, nil, "%v", err)
		}
		return lostAnswer(path, method, err)
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(encoded) > maxAnswerBytes {
		err = errors.New("the answer exceeds the size limit")
	}
	if err != nil {
		return lostAnswer(path, method, err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(encoded, answer); err != nil {
			return lostAnswer(path, method, err)
		}
		return nil
	}
	p := &Problem{status: response.StatusCode}
	if err := json.Unmarshal(encoded, &p.f); err != nil || p.f.Code == 0 {
		return refuse(CodeBadAnswer, map[string]int64{"status": int64(response.StatusCode)},
			"HTTP status %d without a result code", response.StatusCode)
	}
	return p
}

// lostAnswer returns the problem of a request whose answer did not arrive. The outcome of a call that only reads is not
// unknown, because such a call has no effect.
func lostAnswer(path, method string, err error) *Problem {
	if method == http.MethodGet || path == "check" || path == "diff" {
		return refuse(CodeUnreachable, nil, "no answer: %v", err)
	}
	return refuse(CodeOutcomeUnknown, nil, "no answer: %v", err)
}
