package operator

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventStarting = event.Define(1001, "starting", event.Info,
		"The process starts with the settings shown; secrets are left out.")
	eventAdminListening = event.Define(1002, "admin-listening", event.Info,
		"The admin address answers.")
	eventReady = event.Define(1003, "ready", event.Info,
		"A document is in force and the VM takes callers.")
	eventActorStarted = event.Define(1004, "part-started", event.Debug,
		"A part of the daemon runs.")
	eventActorStopped = event.Define(1005, "part-stopped", event.Debug,
		"A part of the daemon has ended.")
	eventActorFailed = event.Define(1006, "part-failed", event.Error,
		"A part of the daemon failed, so the process ends.")
	eventDraining = event.Define(1007, "draining", event.Info,
		"Readiness is off; the VM waits for the balancer, then lets requests finish.")
	eventDrained = event.Define(1008, "drained", event.Info,
		"All requests are finished and the process ends.")
	eventDrainTimedOut = event.Define(1009, "drain-cut", event.Warn,
		"The drain time ran out, so requests still running are cut.")
	eventExitAtOnce = event.Define(1010, "exit-at-once", event.Warn,
		"A second signal came while draining, so the process ends without waiting.")
	eventPlatformUnreachable = event.Define(1011, "platform-out-at-start", event.Warn,
		"The table doesn't answer at the start; the document is awaited from the seed peers.")
	eventNoSessionTokens = event.Define(1012, "no-session-tokens", event.Warn,
		"The key of session tokens can't be read; the VM gives no tokens and asks upstreams for floors instead.")
	eventPeerDocumentRefused = event.Define(1013, "peer-document-refused", event.Warn,
		"A peer gave a document whose text doesn't match its hash or isn't valid.")
	eventCertificateReloaded = event.Define(1014, "caller-certificate-reloaded", event.Info,
		"The callers' changed certificate was read and is used for new connections.")
	eventCertificateUnreadable = event.Define(1015, "caller-certificate-unreadable", event.Error,
		"The callers' certificate files can't be read; the earlier ones stay in use.")
)
