package event

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against library messages that are not logged as the numbered event, and against a crash without a logger.
func TestHandler(t *testing.T) {
	e := &Event{number: -1, name: "test", level: slog.LevelWarn, text: "a library reports"}
	var out bytes.Buffer
	slog.NewLogLogger(Handler(slog.New(slog.NewJSONHandler(&out, nil)), e), e.Level()).Printf("Unsolicited %d", 7)
	for _, want := range []string{`"event":-1`, `"level":"WARN"`, `"detail":"Unsolicited 7"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log line got %s, want %s in it", out.String(), want)
		}
	}
	slog.NewLogLogger(Handler(nil, e), e.Level()).Print("dropped")
}
