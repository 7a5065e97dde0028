package daemon

import (
	"log/slog"

	"magnoliaferry/event"
)

var (
	eventUnreadableEntry = event.New(1070, "worker-entry-unreadable", slog.LevelWarn,
		"an entry in the list of workers cannot be read; it names no worker to use")
	eventClaimFailed = event.New(1071, "claim-failed", slog.LevelInfo, "a part of the table could not be taken over")
	eventVacant      = event.New(1072, "part-vacant", slog.LevelInfo, "a part of the table has no owner that renews its ownership")
	eventPoolOwned   = event.New(1073, "pool-taken", slog.LevelInfo, "this instance runs the jobs of a pool")
	eventNotRenewed  = event.New(1074, "ownership-doubtful", slog.LevelWarn,
		"the ownership of a pool could not be renewed in time; nothing is ordered until it is")
	eventRenewed            = event.New(1075, "ownership-renewed", slog.LevelInfo, "the ownership of a pool is renewed; orders go on")
	eventUnreadableProgress = event.New(1076, "progress-unreadable", slog.LevelError,
		"the stored progress of a job cannot be read; the job is left as it is")
	eventNoAdvice         = event.New(1077, "no-advice", slog.LevelWarn, "the advisor did not tell which workers may run a step")
	eventStarted          = event.New(1078, "instance-started", slog.LevelInfo, "the instance has started")
	eventStopping         = event.New(1079, "instance-stopping", slog.LevelInfo, "the instance was told to stop; it takes no new channels and ends what it has")
	eventStopped          = event.New(1080, "instance-stopped", slog.LevelInfo, "the instance has stopped")
	eventConfigInForce    = event.New(1081, "configuration-in-force", slog.LevelInfo, "a configuration is in force")
	eventUnreadableConfig = event.New(1082, "configuration-unreadable", slog.LevelError, "a configuration cannot be read; the one before stays in force")
	eventListenFailed     = event.New(1083, "listen-failed", slog.LevelError, "a server has failed")
	eventUnreadableWant   = event.New(1084, "want-unreadable", slog.LevelError, "a stored decision about a machine cannot be read")
	eventMachinesOwned    = event.New(1085, "machines-taken", slog.LevelInfo, "this instance decides on machines")
	eventListFailed       = event.New(1086, "machines-unlisted", slog.LevelWarn, "the platform does not list its machines")
	eventUnreadableLoad   = event.New(1087, "load-unreadable", slog.LevelError,
		"what the previous owner of a pool told about it cannot be read; the longest leases are assumed")
	eventUnreadableJob  = event.New(1088, "job-unreadable", slog.LevelError, "a stored job cannot be read; it is left out")
	eventCleanupFailed  = event.New(1089, "rows-not-swept", slog.LevelWarn, "rows of ended jobs could not be deleted; this is repeated")
	eventUnreadableWave = event.New(1092, "wave-unreadable", slog.LevelError, "what is stored of a wave cannot be read; tasks that last may get machines that are due")
	eventClaimDeferred  = event.New(1091, "claim-deferred", slog.LevelInfo, "the store is slow; the owner of a part may only be late")
	eventReread         = event.New(1094, "settings-reread", slog.LevelInfo, "SIGHUP: the settings were read again; changes are in force from the next start")
	eventLateOrder      = event.New(1093, "machine-order-late", slog.LevelWarn,
		"an order for a machine was not sent, as the renewal of the ownership is too old by now; it is repeated")
)
