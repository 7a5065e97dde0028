package machines

import (
	"log/slog"

	"magnoliaferry/event"
)

var (
	eventWave              = event.New(4300, "wave-seen", slog.LevelInfo, "operators ask for the upkeep of machines")
	eventWaveCompleted     = event.New(4301, "wave-completed", slog.LevelInfo, "every machine of a wave has begun its upkeep")
	eventWithdrawal        = event.New(4302, "machine-wanted", slog.LevelInfo, "a machine is to be emptied for upkeep or a move")
	eventOrder             = event.New(4303, "machine-ordered", slog.LevelInfo, "the platform is told to take a machine down or to move it")
	eventAnswer            = event.New(4304, "machine-order-answered", slog.LevelInfo, "the platform answers an order for a machine")
	eventReturned          = event.New(4305, "machine-back", slog.LevelInfo, "a machine runs again after its order")
	eventWithdrawalDropped = event.New(4306, "machine-want-dropped", slog.LevelInfo, "a machine is no longer wanted")
	eventPools             = event.New(4307, "pools", slog.LevelInfo, "the machines that the pools have and need, once a second")
)
