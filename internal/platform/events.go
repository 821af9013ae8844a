package platform

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventDocumentAccepted = event.Define(4001, "document-accepted", event.Info,
		"A newer document is in force on this VM.")
	eventTableLost = event.Define(4002, "document-table-lost", event.Warn,
		"The table can't be read; the last good document stays in force.")
	eventTableRegained = event.Define(4003, "document-table-back", event.Info,
		"The table can be read again.")
	eventBodyMissing = event.Define(4004, "document-body-missing", event.Warn,
		"A newer document is known but its text can't be read yet.")
	eventDocumentRefused = event.Define(4005, "document-refused", event.Error,
		"A newer document was refused because its text isn't the accepted one or has mistakes.")
	eventRowBroken = event.Define(4006, "document-row-broken", event.Error,
		"The table's document row can't be understood.")
	eventTableBehind = event.Define(4007, "document-table-behind", event.Warn,
		"The table tells an older version than the one in force; the newer one stays.")
	eventDuplicate = event.Define(4008, "platform-response-duplicate", event.Warn,
		"A response of the table or the object store may be one to an earlier request on its connection; it wasn't used, and the connection is closed.")
)
