package door

import (
	"expvar"
	"log/slog"

	"magnoliaferry/event"
)

var eventClosed = event.New(2600, "connections-closed", slog.LevelWarn,
	"clients lost their connections or were refused at a door of this instance; the counts are those since the last such line of the door")

// counters count closed connections by door and reason.
var counters = expvar.NewMap("doors")
