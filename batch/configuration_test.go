package batch

import (
	"strings"
	"testing"
)

// Guards against calls that reach another queue than the one with the longest matching prefix, whatever prefixes there are.
func TestMatchFindsTheLongestPrefix(t *testing.T) {
	c := &Configuration{}
	for _, prefix := range []string{"/a/", "/a/b/", "/ab/", "", "/a/b/", "/a"} { // the second /a/b/ is never reached
		c.Queues = append(c.Queues, Queue{Name: "h" + prefix, Host: "h", Prefix: prefix})
	}
	c.Queues = append(c.Queues, Queue{Name: "other", Host: "g", Prefix: "/a/b/"})
	for _, host := range []string{"h", "g", "x", ""} {
		for _, path := range []string{"", "/", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c", "/ab/c", "/abc", "/b/"} {
			var want *Queue // by a scan of all
			for i := range c.Queues {
				if q := &c.Queues[i]; q.Host == host && strings.HasPrefix(path, q.Prefix) && (want == nil || len(q.Prefix) > len(want.Prefix)) {
					want = q
				}
			}
			if got, ok := c.Match(host, path); got != want || ok != (want != nil) {
				t.Errorf("queue of %s%s got %v, want %v", host, path, got, want)
			}
		}
	}
}
