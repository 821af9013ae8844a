package upstream

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventWatchLost = event.Define(3001, "upstream-watch-lost", event.Warn,
		"The connection that watches a server ended or timed out; the server gets no new requests until it answers again.")
	eventWatchUp = event.Define(3002, "upstream-watch-up", event.Info,
		"The connection that watches a server is open and the server's position is known.")
	eventNewTerm = event.Define(3003, "upstream-new-term", event.Info,
		"A server reported a higher term; requests go to the primary of that term.")
	eventGroupAdded = event.Define(3004, "upstream-group-added", event.Info,
		"The document names a database group that this VM didn't serve before.")
	eventGroupRemoved = event.Define(3005, "upstream-group-removed", event.Info,
		"The document no longer names a database group; its connections are closed.")
	eventPrimaryFailed = event.Define(3006, "upstream-primary-failed", event.Error,
		"The primary of a group is considered failed, for the reason shown; this VM starts a promotion.")
	eventPromoted = event.Define(3007, "upstream-promoted", event.Warn,
		"A server was promoted; the new term and its primary are shown.")
	eventPromotionFailed = event.Define(3008, "upstream-promotion-failed", event.Error,
		"A promotion or hand-over failed; it is retried while its cause remains.")
	eventHandedOver = event.Define(3009, "upstream-handed-over", event.Info,
		"A planned hand-over moved the role of primary away from a server that is marked as leaving.")
	eventFollow = event.Define(3010, "upstream-follow", event.Info,
		"A server that replicated from no primary, or from that of an old term, was sent a statement to follow the primary.")
	eventReserveFailed = event.Define(3011, "upstream-reserve-failed", event.Warn,
		"The next term could not be reserved in advance; during an outage of the table no VM could promote.")
	eventAnswerRepeated = event.Define(3012, "upstream-answer-repeated", event.Warn,
		"A server sent an answer again on the same connection; it was skipped, and the request waits for its own answer.")
	eventAnswerRejected = event.Define(3013, "upstream-answer-rejected", event.Error,
		"A server sent something that can't be shown to belong to the outstanding request; the connection was closed.")
	eventAnswersUnnumbered = event.Define(3014, "upstream-answers-unnumbered", event.Warn,
		"A server doesn't number its answers, so an answer that it repeats may be taken for that of another request.")
)
