package caller

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxHeld bounds the settings kept for a session.
const maxHeld = 32

// held is a setting of the caller's that outlives its connection.
type held struct {
	name string
	// sql sets it again.
	sql string
}

// follow takes note of the settings that an answered request changed. They count once
// the transaction that changed them is committed.
func (s *Session) follow(x *exchange) {
	for i, tag := range x.tags {
		if i < len(x.request.statements) {
			s.ran(x.request.statements[i], tag)
		}
	}
	ended := x.status == 'I' && !x.request.unsynced
	switch {
	case x.failedBy && (ended || x.request.unsynced && (!x.inTransaction || x.implicit)):
		s.changes = nil
	case ended:
		s.keep()
	}
}

// ran follows one statement by its tag.
func (s *Session) ran(sql, tag string) {
	switch tag {
	case "SET", "RESET":
		if name := settingOf(sql); name != "" {
			s.changes = append(s.changes, held{name, sql})
		}
	case "DISCARD ALL":
		s.held, s.changes = nil, nil
	case "COMMIT":
		s.keep()
	case "ROLLBACK":
		if classify(sql) == kindEnd {
			s.changes = nil
		}
	}
}

// keep makes the changes of a committed transaction the session's.
func (s *Session) keep() {
	for _, c := range s.changes {
		s.held = slices.DeleteFunc(s.held, func(h held) bool {
			return h.name == c.name || c.name == everySetting && h.name != roleSetting && h.name != authorizationSetting
		})
		if starts(c.sql, "set") && len(s.held) < maxHeld {
			s.held = append(s.held, c)
		}
	}
	s.changes = nil
}

const (
	// everySetting is what RESET ALL names; it leaves who the session runs as.
	everySetting         = "all"
	roleSetting          = "role"
	authorizationSetting = "session authorization"
)

// settingOf names what a SET or RESET changes for the session; empty for what ends with
// the transaction.
func settingOf(sql string) string {
	words := strings.Fields(strings.ToLower(strings.Replace(skipSpace(sql), "=", " = ", 1)))
	if len(words) < 2 {
		return ""
	}
	name, rest := words[1], words[2:]
	switch {
	case name == "local", name == "transaction", name == "constraints":
		return ""
	case name != "session" || len(rest) == 0:
		return name
	case rest[0] == "authorization", rest[0] == "characteristics":
		return name + " " + rest[0]
	}
	return rest[0]
}

// changesSettings tells whether a statement may change the session's settings.
func changesSettings(sql string) bool {
	return starts(sql, "set") || starts(sql, "reset") || starts(sql, "discard")
}

// followed notes the end of a statement.
func (x *exchange) followed(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		x.tags = append(x.tags, string(m.CommandTag))
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.tags = append(x.tags, "")
	}
}
