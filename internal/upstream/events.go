package upstream

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventWatchLost = event.Define(3001, "upstream-watch-lost", event.Warn,
		"The held connection to a server ended or fell silent; the server takes no new work until it answers again.")
	eventWatchUp = event.Define(3002, "upstream-watch-up", event.Info,
		"The held connection to a server stands and its position is known.")
	eventNewTerm = event.Define(3003, "upstream-new-term", event.Info,
		"A server reported a higher term; work goes to the primary of that term.")
	eventGroupAdded = event.Define(3004, "upstream-group-added", event.Info,
		"The document names a database group that this VM didn't serve before.")
	eventGroupRemoved = event.Define(3005, "upstream-group-removed", event.Info,
		"The document no longer names a database group; its connections are closed.")
)
