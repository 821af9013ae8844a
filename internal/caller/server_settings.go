package caller

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxServerSettings limits the settings that are restored for a session.
const maxServerSettings = 32

// serverSetting is a setting that the caller changed with SET. It is restored on each
// server connection that the session acquires.
type serverSetting struct {
	name string
	// sql is the statement that sets it.
	sql string
}

// recordSettings records the settings that an answered request changed. They take
// effect for the session once their transaction is committed.
func (s *Session) recordSettings(x *attempt) {
	for i, tag := range x.commandTags {
		if i < len(x.request.statements) {
			s.recordStatement(x.request.statements[i], tag)
		}
	}
	transactionEnded := x.txStatus == 'I' && !x.request.endsWithFlush
	switch {
	case x.hasServerError && (transactionEnded || x.request.endsWithFlush && (!x.inTransaction || x.implicitTransaction)):
		s.uncommittedSettings = nil
	case transactionEnded:
		s.commitSettings()
	}
}

// recordStatement updates the uncommitted settings for one executed statement and its
// command tag.
func (s *Session) recordStatement(sql, tag string) {
	switch tag {
	case "SET", "RESET":
		if name := changedSetting(sql); name != "" {
			s.uncommittedSettings = append(s.uncommittedSettings, serverSetting{name, sql})
		}
	case "DISCARD ALL":
		s.serverSettings, s.uncommittedSettings = nil, nil
	case "COMMIT":
		s.commitSettings()
	case "ROLLBACK":
		if classify(sql) == kindEnd {
			s.uncommittedSettings = nil
		}
	}
}

// commitSettings moves the uncommitted settings to the session's settings.
func (s *Session) commitSettings() {
	for _, change := range s.uncommittedSettings {
		s.serverSettings = slices.DeleteFunc(s.serverSettings, func(setting serverSetting) bool {
			return setting.name == change.name || change.name == allSettings && setting.name != roleSetting && setting.name != authorizationSetting
		})
		if startsWith(change.sql, "set") && len(s.serverSettings) < maxServerSettings {
			s.serverSettings = append(s.serverSettings, change)
		}
	}
	s.uncommittedSettings = nil
}

const (
	// allSettings is the name in RESET ALL, which changes neither the role nor the
	// session authorization.
	allSettings          = "all"
	roleSetting          = "role"
	authorizationSetting = "session authorization"
)

// changedSetting returns the name of the setting that a SET or RESET changes for the
// session, or "" if the change ends with the transaction.
func changedSetting(sql string) string {
	words := strings.Fields(strings.ToLower(strings.Replace(skipSpaceAndComments(sql), "=", " = ", 1)))
	if len(words) < 2 {
		return ""
	}
	name, arguments := words[1], words[2:]
	switch {
	case name == "local", name == "transaction", name == "constraints":
		return ""
	case name != "session" || len(arguments) == 0:
		return name
	case arguments[0] == "authorization", arguments[0] == "characteristics":
		return name + " " + arguments[0]
	}
	return arguments[0]
}

// changesSettings reports whether a statement may change the session's settings.
func changesSettings(sql string) bool {
	return startsWith(sql, "set") || startsWith(sql, "reset") || startsWith(sql, "discard")
}

// recordCommandTag records the command tag of a completed statement, "" if it has none.
func (x *attempt) recordCommandTag(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		x.commandTags = append(x.commandTags, string(m.CommandTag))
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.commandTags = append(x.commandTags, "")
	}
}
