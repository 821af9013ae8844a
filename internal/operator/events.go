package operator

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventStarting = event.Define(1001, "starting", event.Info,
		"The process starts with the settings shown; secrets are omitted.")
	eventAdminListening = event.Define(1002, "admin-listening", event.Info,
		"The admin page accepts requests on its address.")
	eventReady = event.Define(1003, "ready", event.Info,
		"A document is in force on this VM.")
	eventActorStarted = event.Define(1004, "part-started", event.Debug,
		"A component of the daemon has started.")
	eventActorStopped = event.Define(1005, "part-stopped", event.Debug,
		"A component of the daemon has stopped.")
	eventActorFailed = event.Define(1006, "part-failed", event.Error,
		"A component of the daemon failed, so the process exits.")
	eventDraining = event.Define(1007, "draining", event.Info,
		"/ready answers 503; the VM waits for the load balancer, then lets running requests finish.")
	eventDrained = event.Define(1008, "drained", event.Info,
		"The drain is over and the process exits.")
	eventDrainTimedOut = event.Define(1009, "drain-cut", event.Warn,
		"The drain time ran out, so requests that still run are cut off.")
	eventExitAtOnce = event.Define(1010, "exit-at-once", event.Warn,
		"A second signal arrived during the drain, so the process exits without waiting.")
	eventPlatformUnreachable = event.Define(1011, "platform-out-at-start", event.Warn,
		"The table doesn't answer at startup; the VM waits for a document from the seed peers.")
	eventNoSessionTokens = event.Define(1012, "no-session-tokens", event.Warn,
		"The session token key can't be read; the VM issues no tokens and queries upstreams for floors instead.")
	eventPeerDocumentRefused = event.Define(1013, "peer-document-refused", event.Warn,
		"A peer sent a document that is invalid or doesn't match its hash.")
	eventCertificateReloaded = event.Define(1014, "caller-certificate-reloaded", event.Info,
		"The changed certificate for callers was read and is used for new connections.")
	eventCertificateUnreadable = event.Define(1015, "caller-certificate-unreadable", event.Error,
		"The certificate files for callers can't be read; the previous certificate stays in use.")
)
