package machines

import (
	"log/slog"

	"magnoliaferry/event"
)

var (
	eventWave          = event.New(4300, "wave-seen", slog.LevelInfo, "operators have requested the maintenance of a set of machines")
	eventWaveCompleted = event.New(4301, "wave-completed", slog.LevelInfo, "maintenance has begun, or was refused as invalid, on every machine of a wave that is still listed")
	eventWithdrawal    = event.New(4302, "machine-wanted", slog.LevelInfo, "a machine is withdrawn from its pool for maintenance or for a move; its worker is emptied first")
	eventOrder         = event.New(4303, "machine-ordered", slog.LevelInfo, "an order for the maintenance or the move of a machine is sent to the platform")
	eventAnswer        = event.New(4304, "machine-order-answered", slog.LevelInfo,
		"an order for a machine has ended; outcome 0: no answer, 1: accepted, 2: machine busy, 3: invalid order, 4: higher fencing token, 5: rejected")
	eventReturned          = event.New(4305, "machine-back", slog.LevelInfo, "a machine is up again after its maintenance or move")
	eventWithdrawalDropped = event.New(4306, "machine-want-dropped", slog.LevelInfo, "the withdrawal of a machine is dropped before the machine is up again, for the logged reason")
	eventRetargeted        = event.New(4308, "machine-want-renewed", slog.LevelWarn, "another worker has started on a machine whose order may have been sent; the machine is emptied again before the order is repeated")
	eventPools             = event.New(4307, "pools", slog.LevelInfo, "the machines that the pools have and need, once a second")
)
