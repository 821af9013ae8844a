package peer

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventPeerLive           = event.Define(5001, "peer-in", event.Info, "A peer answers and is in use.")
	eventSuspect            = event.Define(5002, "peer-suspect", event.Warn, "A peer has been silent for a while.")
	eventGone               = event.Define(5003, "peer-gone", event.Warn, "A peer is out of use: silent too long, or it said goodbye.")
	eventListUnread         = event.Define(5004, "vm-list-unread", event.Warn, "The platform's list of VMs could not be read; the last one stays in use.")
	eventTLSReload          = event.Define(5005, "peer-certificate-reloaded", event.Info, "Changed certificate files were read and are used for new connections.")
	eventTLSUnreadable      = event.Define(5006, "peer-certificate-unreadable", event.Error, "Changed certificate files could not be read; the earlier ones stay in use.")
	eventListEntryMalformed = event.Define(5008, "vm-list-entry-malformed", event.Warn, "An entry of the platform's list of VMs is malformed; what was known of that VM stays, and the other entries are used.")
	eventServiceEnded       = event.Define(5007, "peer-service-ended", event.Error, "The service for peers ended although the VM runs on.")
)
