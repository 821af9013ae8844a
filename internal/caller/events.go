package caller

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventKeyRefused = event.Define(2001, "caller-key-refused", event.Warn,
		"A caller presented an unknown, wrong or withdrawn key and was turned away.")
	eventKeyWithdrawn = event.Define(2002, "caller-key-withdrawn", event.Info,
		"An open connection was closed because its key was withdrawn or its workspace lost the database.")
	eventUnknownOutcome = event.Define(2003, "caller-outcome-unknown", event.Warn,
		"A write was sent to an upstream and its outcome could not be learnt; the caller was told so.")
	eventRetry = event.Define(2004, "caller-request-rerun", event.Info,
		"A request that had not run was sent to another server.")
	eventDrained = event.Define(2005, "caller-drained", event.Info,
		"All callers' sessions have ended; shutdown goes on.")
	eventProtocolError = event.Define(2006, "caller-protocol-error", event.Warn,
		"A caller sent bytes that the protocol doesn't allow; its connection was closed.")
	eventTrustChanged = event.Define(2007, "caller-trust-changed", event.Warn,
		"The VM lost or regained the right to rely on its document; without it, no caller is served.")
	eventSessionPanic = event.Define(2009, "caller-session-panic", event.Error,
		"A session ended by a fault of this program, which the event shows; the other sessions go on. Please report it.")
	eventAcceptFailed = event.Define(2008, "caller-accept-failed", event.Error,
		"A caller's connection could not be accepted, as without file descriptors; it is tried again.")
)
