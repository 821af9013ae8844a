package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/budget"
)

// messageOverhead is what a queued message or a prepared statement takes beside its texts.
const messageOverhead budget.Bytes = 200

// keep charges a message that is queued until the next Sync or Flush, and the statement that it
// prepares. It returns ErrOverLimit if the session would keep too much.
func (s *Session) keep(m pgproto3.FrontendMessage) error {
	size := messageSize(m)
	if !s.callerConn.account.Keep(size) {
		return ErrOverLimit.New("the session keeps too much before a Sync")
	}
	s.pendingBytes += size
	parse, prepares := m.(*pgproto3.Parse)
	if !prepares {
		return nil
	}
	if !s.callerConn.account.Keep(size - s.preparedBytes[parse.Name]) {
		return ErrOverLimit.New("the session keeps too many prepared statements")
	}
	if s.preparedBytes == nil {
		s.preparedBytes = map[string]budget.Bytes{}
	}
	s.preparedBytes[parse.Name] = size
	return nil
}

// releasePending gives back what was charged for the queued messages.
func (s *Session) releasePending() {
	s.callerConn.account.Keep(-s.pendingBytes)
	s.pendingBytes = 0
}

// chargeSettings charges the settings that the session keeps, and ends it after the current answer if it
// keeps too much.
func (s *Session) chargeSettings() {
	size := budget.Bytes(0)
	for _, list := range [][]serverSetting{s.serverSettings, s.uncommittedSettings} {
		for _, setting := range list {
			size += budget.Bytes(len(setting.sql)) + messageOverhead
		}
	}
	if size == s.settingsBytes {
		return
	}
	if s.callerConn.account.Keep(size - s.settingsBytes) {
		s.settingsBytes = size
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == reasonNone {
		s.endReason = reasonOverLimit
	}
}

// messageSize returns what a queued message takes.
func messageSize(m pgproto3.FrontendMessage) budget.Bytes {
	size := messageOverhead
	switch m := m.(type) {
	case *pgproto3.Parse:
		size += budget.Bytes(len(m.Name) + len(m.Query) + 4*len(m.ParameterOIDs))
	case *pgproto3.Bind:
		size += budget.Bytes(len(m.DestinationPortal) + len(m.PreparedStatement) + 2*len(m.ParameterFormatCodes) + 2*len(m.ResultFormatCodes))
		for _, p := range m.Parameters {
			size += budget.Bytes(len(p)) + sliceOverhead
		}
	case *pgproto3.Describe:
		size += budget.Bytes(len(m.Name))
	case *pgproto3.Execute:
		size += budget.Bytes(len(m.Portal))
	case *pgproto3.Close:
		size += budget.Bytes(len(m.Name))
	}
	return size
}

// sliceOverhead is what a parameter takes beside its bytes.
const sliceOverhead budget.Bytes = 24
