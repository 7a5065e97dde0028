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

// The headers of requests.
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
	// headerPrefix marks the headers that belong to magnoliaferry; those of a worker's answer do not reach the caller.
	headerPrefix = "Magnoliaferry-"
	// anonymous is the caller of requests that name none; all of them share its turn in the queue.
	anonymous       = "anonymous"
	maxCallerLength = 64
	maxKeyLength    = 128
	// maxDeadlineDigits keeps the number far from overflow; nine digits are 11 days.
	maxDeadlineDigits = 9
)

// params is what the headers of a request ask for.
type params struct {
	caller   string
	key      string // empty for none
	urgency  config.Urgency
	deadline clock.Millis // duration
}

// parseParams reads and bounds the headers; values that are absent come from the service. A deadline longer than the
// service allows is shortened, because the caller can only gain by an earlier answer.
func parseParams(h http.Header, service config.Service) (params, error) {
	d := params{caller: anonymous, urgency: service.Urgency(), deadline: service.Deadline()}
	if d.urgency == "" {
		d.urgency = config.Normal
	}
	if d.deadline <= 0 {
		d.deadline = defaultDeadline
	}
	longest := service.MaxDeadline()
	if longest <= 0 || longest > maxDeadline {
		longest = maxDeadline
	}
	value, present, err := singleValue(h, HeaderCaller)
	if err != nil {
		return d, err
	}
	if present {
		if !isName(value, maxCallerLength) {
			return d, fmt.Errorf("%s must be 1 to %d letters, digits, '.', '_' or '-'", HeaderCaller, maxCallerLength)
		}
		d.caller = value
	}
	if value, present, err = singleValue(h, HeaderRequestKey); err != nil {
		return d, err
	}
	if present {
		if !isName(value, maxKeyLength) {
			return d, fmt.Errorf("%s must be 1 to %d letters, digits, '.', '_' or '-'", HeaderRequestKey, maxKeyLength)
		}
		if d.caller == anonymous {
			return d, fmt.Errorf("%s needs %s", HeaderRequestKey, HeaderCaller)
		}
		d.key = value
	}
	if value, present, err = singleValue(h, HeaderUrgency); err != nil {
		return d, err
	}
	if present {
		switch u := config.Urgency(value); u {
		case config.Urgent, config.Normal, config.Batch:
			d.urgency = u
		default:
			return d, fmt.Errorf("%s must be urgent, normal or batch", HeaderUrgency)
		}
	}
	if value, present, err = singleValue(h, HeaderDeadline); err != nil {
		return d, err
	}
	if present {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil || n == 0 || len(value) > maxDeadlineDigits {
			return d, fmt.Errorf("%s must be a number of milliseconds from 1", HeaderDeadline)
		}
		d.deadline = clock.Millis(n)
	}
	d.deadline = min(d.deadline, longest)
	return d, nil
}

// singleValue returns the only value of a header; several are an error, because two readers could choose different ones.
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

// isName accepts what is safe inside the key of a row, such as claim/<caller>/<request-key>.
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

// hopByHopHeaders are the headers that concern one connection (RFC 9110 section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders removes the headers that concern the connection on which h arrived.
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

// copyAnswerHeader copies the header of a worker's answer to that of the answer to the caller.
func copyAnswerHeader(to, from http.Header) {
	removeHopByHopHeaders(from)
	for name, values := range from {
		if !strings.HasPrefix(name, headerPrefix) {
			to[name] = values
		}
	}
}
