package proxy

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventServer = event.Define(6001, "proxy-server", event.Info,
		"The platform's list of servers gained or lost a server, or marked one as leaving.")
	eventServerFailed = event.Define(6002, "proxy-server-failed", event.Warn,
		"A connection to a server broke, timed out or couldn't be opened; reads avoid the server for a while.")
	eventPrimary = event.Define(6003, "proxy-lead", event.Info,
		"This VM regards another server, or none, as the primary of a group, for the reason shown.")
	eventConfiguration = event.Define(6004, "proxy-configuration", event.Info,
		"A newer configuration is in force on this VM.")
	eventStartRefused = event.Define(6005, "proxy-start-refused", event.Info,
		"A caller was refused at its start, under the configuration shown.")
	eventKeyWithdrawn = event.Define(6006, "proxy-key-withdrawn", event.Info,
		"A session was closed because its key was withdrawn.")
	eventRequestRefused = event.Define(6007, "proxy-refused", event.Info,
		"A request was refused because its key or database is no longer in the configuration, or because the VM can't learn which keys are valid.")
	eventRequestFailed = event.Define(6008, "proxy-failed", event.Info,
		"A request failed; the outcome shows whether it may have run.")
	eventRetry = event.Define(6009, "proxy-retry", event.Info,
		"An attempt at a request that hasn't run, or can safely run again, failed at a server; another attempt follows if time is left.")
	eventTransactionIdle = event.Define(6010, "proxy-transaction-idle", event.Info,
		"A transaction was rolled back because it was idle for too long or because the VM is shutting down.")
	eventDrain    = event.Define(6011, "proxy-drain", event.Info, "The VM is shutting down and closes sessions between operations.")
	eventDrained  = event.Define(6012, "proxy-drained", event.Info, "The drain has ended.")
	eventDecision = event.Define(6013, "proxy-verdict", event.Warn,
		"This VM decided that a primary has to be replaced; it acts when its turn comes.")
	eventPromote = event.Define(6014, "proxy-promote", event.Warn,
		"This VM orders the promotion of a server to primary, under the fencing token shown.")
	eventPromotionEnded = event.Define(6015, "proxy-promotion", event.Warn,
		"This VM's attempt at a failover has ended.")
	eventPromotionRefused = event.Define(6030, "proxy-promotion-refused", event.Warn,
		"This VM decided that a primary has to be replaced, but promotes no server now: too few of the listed ones answered, or their logs lack a newer term that is known.")
	eventDecisionOutdated = event.Define(6031, "proxy-verdict-outdated", event.Info,
		"This VM's decision to replace a primary no longer stood when it was to be carried out.")
	eventPaused = event.Define(6033, "proxy-paused", event.Warn,
		"This VM has stopped replicas from receiving the log, so that no commit is confirmed between their answers and the promotion of one of them.")
	eventResumed = event.Define(6034, "proxy-resumed", event.Info,
		"This VM has made replicas that may have been paused receive the log again; the event shows those that didn't answer.")
	eventPauseLeft = event.Define(6035, "proxy-pause-left", event.Warn,
		"Replicas may be left paused by an attempt at a failover that has ended early; this VM, or another one, ends that.")
	eventRoster = event.Define(6036, "proxy-roster", event.Info,
		"This VM has recorded which servers may hold confirmed commits, or couldn't; servers that are no longer listed are kept until the others have all that those could have confirmed.")
	eventStalled = event.Define(6037, "proxy-stalled", event.Warn,
		"A server has confirmed no commit for a while although some wait, or confirms them again. Meanwhile only a part of this VM's connections is used for writes; others wait, or are refused with a time to return.")
	eventFleetUnknown = event.Define(6032, "proxy-fleet-unknown", event.Warn,
		"Whether this VM knows which VMs there are changed; while it doesn't, it takes no decision on a primary.")
	eventPrimaryStopped = event.Define(6016, "proxy-primary-stopped", event.Info,
		"A leaving primary was demoted and takes no more writes; the event shows the end of its log.")
	eventRelayFailed = event.Define(6017, "proxy-relay", event.Warn,
		"The VM that owns the pooled connections to a server can't be reached; this VM uses its own connection.")
	eventNotSettled = event.Define(6020, "proxy-not-settled", event.Info,
		"A request was refused because this VM has just started and doesn't know the other VMs yet.")
	eventForecastRefused = event.Define(6021, "proxy-forecast-refused", event.Info,
		"A request was refused because every server that could serve it is expected to do so only after its deadline, by the loads that other VMs told in the last second or by this VM's queues.")
	eventQueueRefused = event.Define(6022, "proxy-queue-refused", event.Info,
		"The queue of a server refused a statement because its forecast is past the deadline; the event shows the queue, and how many refusals of the class there were since the last such event.")
	eventEvacuationBegun = event.Define(6040, "proxy-evacuation", event.Warn,
		"A zone is being evacuated: its servers get no new work, and after the grace nothing at all.")
	eventEvacuationEmpty = event.Define(6041, "proxy-evacuation-empty", event.Info,
		"This VM has no connection left to the servers of a zone that is being evacuated.")
	eventEvacuationCancelled = event.Define(6042, "proxy-evacuation-cancelled", event.Info,
		"A zone is no longer being evacuated; its servers are used again.")
	eventEvacuationUnknown = event.Define(6043, "proxy-evacuation-unknown", event.Warn,
		"No server is listed in the zone that is to be evacuated; it has no effect here.")
	eventUnknownRegions = event.Define(6044, "proxy-unknown-regions", event.Warn,
		"The configuration allows regions that no zone in the settings is in; no server is in them.")
	eventUnexpectedAnswer = event.Define(6050, "proxy-unexpected-answer", event.Warn,
		"An answer on a server's connection isn't, or may not be, that of the oldest unanswered command: it was received before, has a form that no answer to that command has, or belongs to an earlier one.")
	eventSettled = event.Define(6051, "proxy-settled", event.Info,
		"A refusal that was equal to an earlier one on the connection is shown to be the statement's own, or the statement's true answer arrived after it.")
	eventSessionPanic = event.Define(6052, "proxy-session-panic", event.Error,
		"A session ended by a fault of this program, which the event shows; the other sessions go on. Please report it.")
	eventQuorum = event.Define(6018, "proxy-endorsed", event.Warn,
		"Whether a majority of the verifier VMs can use the primary changed, as observed by this VM; without that majority this VM doesn't use the primary.")
)
