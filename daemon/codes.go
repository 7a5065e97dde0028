package daemon

import (
	"log/slog"

	"magnoliaferry/event"
)

var (
	eventUnreadableEntry = event.New(1070, "worker-entry-unreadable", slog.LevelWarn,
		"the entry of a worker cannot be decoded; the worker gets no tasks until it has a valid entry")
	eventClaimFailed = event.New(1071, "claim-failed", slog.LevelInfo, "a part of the store (a pool or the machines) could not be claimed or released by this instance, or its ownership ended with an error")
	eventVacant      = event.New(1072, "part-vacant", slog.LevelInfo, "a part of the store (a pool or the machines) has no live owner; this instance tries to claim it")
	eventPoolOwned   = event.New(1073, "pool-taken", slog.LevelInfo, "this instance owns a pool and runs its jobs")
	eventNotRenewed  = event.New(1074, "ownership-doubtful", slog.LevelWarn,
		"the ownership of a pool was not renewed in time; workers get no orders until it is renewed")
	eventRenewed            = event.New(1075, "ownership-renewed", slog.LevelInfo, "the ownership of a pool is renewed; workers get orders again")
	eventUnreadableProgress = event.New(1076, "progress-unreadable", slog.LevelError,
		"the stored progress of a job cannot be decoded; the job is not scheduled and its rows are kept")
	eventNoAdvice             = event.New(1077, "no-advice", slog.LevelWarn, "the advisor did not answer which workers may run a step; no task of the step is placed until a later request is answered")
	eventStarted              = event.New(1078, "instance-started", slog.LevelInfo, "the instance has started")
	eventStopping             = event.New(1079, "instance-stopping", slog.LevelInfo, "the instance is stopping; it releases the parts that it owns and completes the requests in progress")
	eventStopped              = event.New(1080, "instance-stopped", slog.LevelInfo, "the instance has stopped")
	eventConfigInForce        = event.New(1081, "configuration-in-force", slog.LevelInfo, "a configuration is in force")
	eventUnreadableConfig     = event.New(1082, "configuration-unreadable", slog.LevelError, "a configuration or a wave cannot be decoded; the configuration in force stays")
	eventListenFailed         = event.New(1083, "listen-failed", slog.LevelError, "an HTTP server of the instance could not listen, failed, or could not be shut down")
	eventUnreadableWithdrawal = event.New(1084, "want-unreadable", slog.LevelError, "the stored withdrawal of a machine cannot be decoded; the owner of the pool ignores it, and the worker of the machine is not emptied")
	eventMachinesOwned        = event.New(1085, "machines-taken", slog.LevelInfo, "this instance owns the machines and sends orders for them")
	eventListFailed           = event.New(1086, "machines-unlisted", slog.LevelWarn, "the platform did not return the list of machines")
	eventUnreadableLoad       = event.New(1087, "load-unreadable", slog.LevelError,
		"the last report of the previous owner of a pool cannot be decoded; the longest leases are assumed")
	eventUnreadableJob   = event.New(1088, "job-unreadable", slog.LevelError, "a stored job cannot be decoded; it is not scheduled")
	eventCleanupFailed   = event.New(1089, "rows-not-swept", slog.LevelWarn, "rows of ended jobs could not be deleted; the deletion is retried")
	eventUnreadableWave  = event.New(1092, "wave-unreadable", slog.LevelError, "the stored state of a wave cannot be decoded; long-running tasks may be placed on machines that are due for maintenance")
	eventClaimDeferred   = event.New(1091, "claim-deferred", slog.LevelInfo, "a claim is deferred: the store is slow, and the owner of the part may only be late with its renewal")
	eventReread          = event.New(1094, "settings-reread", slog.LevelInfo, "the settings were read again after SIGHUP; changes apply from the next start of the instance")
	eventKeysUnconfirmed = event.New(1095, "keys-unconfirmed", slog.LevelWarn,
		"the newest configuration has not been confirmed at the store for too long; requests with keys are refused until it is")
	eventKeysConfirmed      = event.New(1096, "keys-confirmed", slog.LevelInfo, "the configuration is confirmed at the store; requests with keys are served")
	eventTransactionRefused = event.New(1097, "transaction-refused", slog.LevelError, "the store refuses a transaction of a pool for its content; the rows of each job are stored by themselves")
	eventJobRefused         = event.New(1098, "job-refused", slog.LevelError, "the store refuses the rows of a job for their content; the job fails, because its progress cannot be kept")
	eventNoLayout           = event.New(1069, "layout-not-stored", slog.LevelWarn, "the layout of the store is not known and could not be stored; this instance serves nothing until it is")
	eventHandedOver         = event.New(1068, "pool-handed-over", slog.LevelInfo, "the owner of a pool has too little processor for it and releases it, as a stronger instance is alive")
	eventLateOrder          = event.New(1093, "machine-order-late", slog.LevelWarn,
		"an order for a machine was not sent because the last renewal of the ownership is too old; the order is retried")
	eventUnreadableGrant = event.New(1099, "grant-unreadable", slog.LevelError,
		"the stored grants of a customer cannot be decoded; the customer's tasks do not start in the pool until the row is readable")
)
