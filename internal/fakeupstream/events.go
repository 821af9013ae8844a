package fakeupstream

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventTruncated  = event.Define(8001, "upstream-stand-in-truncated", event.Info, "A stand-in server dropped log entries that its new primary doesn't have.")
	eventNotApplied = event.Define(8002, "upstream-stand-in-not-applied", event.Error, "A stand-in replica could not replay a log entry.")
	eventNoListener = event.Define(8003, "upstream-stand-in-no-listener", event.Warn, "A stand-in server could not listen again after a fault.")
	eventFault      = event.Define(8004, "upstream-stand-in-fault", event.Info, "A fault of a stand-in server was switched.")
)
