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
		d, err := parseParams(request.Header, service)
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
		if d.deadline < 1 || d.deadline > maxDeadline {
			t.Errorf("got deadline %d ms, want 1 to %d", d.deadline, maxDeadline)
		}
		if d.urgency != config.Urgent && d.urgency != config.Normal && d.urgency != config.Batch {
			t.Errorf("got urgency %q, want urgent, normal or batch", d.urgency)
		}
		if !isName(d.caller, maxCallerLength) || (d.key != "" && (!isName(d.key, maxKeyLength) || d.caller == anonymous)) {
			t.Errorf("got caller %q and key %q, want names within the bounds and no key without a caller", d.caller, d.key)
		}
	})
}
