package caller

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"magnoliaferry/config"
)

// Whatever headers a caller sends, accepted values must be within their bounds and safe in the key of a table row, and no
// hop-by-hop header may reach the worker.
func FuzzHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /svc HTTP/1.1\r\nHost: h\r\n" + raw + "\r\n\r\n")))
		if err != nil {
			return
		}
		service, _ := testConfiguration(1).Service("svc")
		p, err := parseParams(request.Header, service)
		removeHopByHopHeaders(request.Header)
		for name := range request.Header {
			for _, hop := range hopByHopHeaders {
				if name == hop {
					t.Errorf("hop-by-hop header %s was not removed", name)
				}
			}
		}
		if err != nil {
			return
		}
		if p.deadline < 1 || p.deadline > maxDeadline {
			t.Errorf("got deadline %d ms, want 1 to %d", p.deadline, maxDeadline)
		}
		if p.urgency != config.Urgent && p.urgency != config.Normal && p.urgency != config.Batch {
			t.Errorf("got urgency %q, want urgent, normal or batch", p.urgency)
		}
		if !isName(p.caller, maxCallerLength) || (p.key != "" && (!isName(p.key, maxKeyLength) || p.caller == anonymous)) {
			t.Errorf("got caller %q and key %q, want names within the bounds and no key without a caller", p.caller, p.key)
		}
	})
}
