package caller

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/worker"
)

// The headers of requests from callers.
const (
	HeaderCaller     = "Magnoliaferry-Caller"
	HeaderRequestKey = "Magnoliaferry-Request-Key"
	HeaderDeadline   = worker.HeaderDeadline
	HeaderUrgency    = "Magnoliaferry-Urgency"
)

// The headers of answers and refusals.
const (
	HeaderResult  = "Magnoliaferry-Result"
	HeaderOutcome = "Magnoliaferry-Outcome"
	HeaderContact = "Magnoliaferry-Contact"
)

const (
	// headerPrefix is the prefix of magnoliaferry's own headers, which are removed from a worker's answer.
	headerPrefix = "Magnoliaferry-"
	// anonymous is the caller name of requests without HeaderCaller; the queue treats them all as one caller.
	anonymous       = "anonymous"
	maxCallerLength = 64
	maxKeyLength    = 128
	// maxDeadlineDigits keeps the deadline in milliseconds far from overflow; nine digits are 11 days.
	maxDeadlineDigits = 9
)

// params are the parameters of a request, taken from its headers or else from its service.
type params struct {
	caller   string
	key      string // empty for none
	urgency  config.Urgency
	deadline clock.Millis // duration
}

// parseParams reads and checks the headers; absent values default to those of the service. A deadline longer than the
// service allows is shortened instead of refused, because an earlier answer does the caller no harm.
func parseParams(h http.Header, service config.Service) (params, error) {
	p := params{caller: anonymous, urgency: service.Urgency(), deadline: service.Deadline()}
	if p.urgency == "" {
		p.urgency = config.Normal
	}
	if p.deadline <= 0 {
		p.deadline = defaultDeadline
	}
	longest := service.MaxDeadline()
	if longest <= 0 || longest > maxDeadline {
		longest = maxDeadline
	}
	value, present, err := singleValue(h, HeaderCaller)
	if err != nil {
		return p, err
	}
	if present {
		if !isName(value, maxCallerLength) {
			return p, fmt.Errorf("%s must be 1 to %d letters, digits, '.', '_' or '-'", HeaderCaller, maxCallerLength)
		}
		p.caller = value
	}
	if value, present, err = singleValue(h, HeaderRequestKey); err != nil {
		return p, err
	}
	if present {
		if !isName(value, maxKeyLength) {
			return p, fmt.Errorf("%s must be 1 to %d letters, digits, '.', '_' or '-'", HeaderRequestKey, maxKeyLength)
		}
		if p.caller == anonymous {
			return p, fmt.Errorf("%s needs %s", HeaderRequestKey, HeaderCaller)
		}
		p.key = value
	}
	if value, present, err = singleValue(h, HeaderUrgency); err != nil {
		return p, err
	}
	if present {
		switch u := config.Urgency(value); u {
		case config.Urgent, config.Normal, config.Batch:
			p.urgency = u
		default:
			return p, fmt.Errorf("%s must be urgent, normal or batch", HeaderUrgency)
		}
	}
	if value, present, err = singleValue(h, HeaderDeadline); err != nil {
		return p, err
	}
	if present {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil || n == 0 || len(value) > maxDeadlineDigits {
			return p, fmt.Errorf("%s must be a number of milliseconds from 1", HeaderDeadline)
		}
		p.deadline = clock.Millis(n)
	}
	p.deadline = min(p.deadline, longest)
	return p, nil
}

// singleValue returns the only value of a header and whether it is present. Several values are an error, because two
// programs that read the request could choose different ones.
func singleValue(h http.Header, name string) (value string, present bool, err error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", false, fmt.Errorf("%s occurs %d times", name, len(values))
}

// isName reports whether s has 1 to longest characters that are safe in the key of a table row, such as
// claim/<caller>/<request-key>.
func isName(s string, longest int) bool {
	if s == "" || len(s) > longest {
		return false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

// hopByHopHeaders are the headers that apply only to one connection (RFC 9110 section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders removes the headers that apply only to the connection on which h arrived, including those listed
// in its Connection header.
func removeHopByHopHeaders(h http.Header) {
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// copyAnswerHeader copies the header of a worker's answer to the header of the answer to the caller, without hop-by-hop
// headers and magnoliaferry's own headers.
func copyAnswerHeader(to, from http.Header) {
	removeHopByHopHeaders(from)
	for name, values := range from {
		if !strings.HasPrefix(name, headerPrefix) {
			to[name] = values
		}
	}
}
