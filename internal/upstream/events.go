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
	eventPrimaryFailed = event.Define(3006, "upstream-primary-failed", event.Error,
		"The primary of a group counts as failed, for the reason shown; this VM begins a promotion.")
	eventPromoted = event.Define(3007, "upstream-promoted", event.Warn,
		"A server was promoted; the new term and its primary are shown.")
	eventPromotionFailed = event.Define(3008, "upstream-promotion-failed", event.Error,
		"A promotion came to no end; it is tried again while the primary stays failed.")
	eventHandedOver = event.Define(3009, "upstream-handed-over", event.Info,
		"The primary's role was moved away from a server that leaves.")
	eventFollow = event.Define(3010, "upstream-follow", event.Info,
		"A server that followed nobody or an old term was told to follow the primary.")
	eventReserveFailed = event.Define(3011, "upstream-reserve-failed", event.Warn,
		"The right to the next term could not be written in advance; in an outage of the table nobody could promote.")
)
