package proxy

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventServer = event.Define(6001, "proxy-server", event.Info,
		"The platform's list of servers gained or lost a server, or one of them is leaving.")
	eventServerFailed = event.Define(6002, "proxy-server-failed", event.Warn,
		"A connection to a server broke, fell silent or couldn't be opened; reads avoid it for a while.")
	eventPrimary = event.Define(6003, "proxy-lead", event.Info,
		"This VM takes another server for the primary of a group, or none, for the reason shown.")
	eventConfiguration = event.Define(6004, "proxy-configuration", event.Info,
		"A newer configuration is in force on this VM.")
	eventStartRefused = event.Define(6005, "proxy-start-refused", event.Info,
		"A caller wasn't let in, by the configuration shown.")
	eventKeyWithdrawn = event.Define(6006, "proxy-key-withdrawn", event.Info,
		"A session was closed because its key was withdrawn.")
	eventRequestRefused = event.Define(6007, "proxy-refused", event.Info,
		"A request was refused because its key or database is no longer in the configuration.")
	eventRequestFailed = event.Define(6008, "proxy-failed", event.Info,
		"A request had no result; the outcome says whether it may have run.")
	eventRetry = event.Define(6009, "proxy-retry", event.Info,
		"An attempt at a request that hasn't run, or may run again, failed at a server; another follows if time is left.")
	eventTransactionIdle = event.Define(6010, "proxy-transaction-idle", event.Info,
		"A transaction rested for longer than allowed, or the VM ends, and it was rolled back.")
	eventDrain    = event.Define(6011, "proxy-drain", event.Info, "The VM is to end and closes sessions between operations.")
	eventDrained  = event.Define(6012, "proxy-drained", event.Info, "The drain is over.")
	eventDecision = event.Define(6013, "proxy-verdict", event.Warn,
		"This VM finds that a primary is to be replaced; it acts when its turn has come.")
	eventPromote = event.Define(6014, "proxy-promote", event.Warn,
		"This VM orders a server to become primary, under the fencing token shown.")
	eventPromotionEnded = event.Define(6015, "proxy-promotion", event.Warn,
		"This VM's attempt at a failover is over.")
	eventPrimaryStopped = event.Define(6016, "proxy-primary-stopped", event.Info,
		"A primary that leaves was told to take no more writes, and how far its log came.")
	eventRelayFailed = event.Define(6017, "proxy-relay", event.Warn,
		"The VM that holds connections to a server can't be reached; this one uses its own.")
	eventQuorum = event.Define(6018, "proxy-endorsed", event.Warn,
		"Whether most VMs can use the primary changed, as this VM hears them; while they can't, it isn't used.")
)
