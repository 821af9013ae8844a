package caller

import (
	"strings"
)

// statementKind classifies a statement for routing.
type statementKind string

const (
	kindRead          statementKind = "read"
	kindWrite         statementKind = "write"
	kindBegin         statementKind = "begin"
	kindBeginReadOnly statementKind = "begin-read-only"
	kindEnd           statementKind = "end"
	// kindProxySetting is a SET, SHOW or RESET of a savoryramp setting, which the proxy
	// answers itself.
	kindProxySetting statementKind = "own"
	kindEmpty        statementKind = "empty"
)

// proxySettingPrefix begins the names of the settings that the proxy handles itself.
const proxySettingPrefix = "savoryramp."

// classify determines the kind of a statement from the beginning of its text and a few
// keywords. Anything it doesn't recognize is a write and goes to the primary. If a
// statement classified as a read does write, a replica rejects it with 25006 before it
// has changed anything.
func classify(sql string) statementKind {
	text := strings.TrimRight(skipSpaceAndComments(sql), " \t\r\n;")
	words := strings.Fields(strings.ToLower(prefix(text)))
	if len(words) == 0 {
		return kindEmpty
	}
	severalStatements := hasSeveralStatements(text)
	switch words[0] {
	case "begin", "start":
		if severalStatements {
			return kindWrite
		}
		if isBeginReadOnly(strings.ToLower(text)) {
			return kindBeginReadOnly
		}
		return kindBegin
	case "commit", "end", "rollback", "abort":
		// This excludes ROLLBACK TO SAVEPOINT and COMMIT PREPARED.
		if !severalStatements && endPattern.MatchString(stripComments(text)) {
			return kindEnd
		}
	case "set", "show", "reset":
		if !severalStatements && namesProxySetting(words) {
			return kindProxySetting
		}
	case "select", "values", "table", "with":
		if !severalStatements && !mayLockOrWrite(text) {
			return kindRead
		}
	}
	return kindWrite
}

// isBeginReadOnly reports whether a lower-case BEGIN has READ ONLY and no READ WRITE.
// It returns false if the text has a comment.
func isBeginReadOnly(lower string) bool {
	return strings.Contains(lower, "read only") && !strings.Contains(lower, "write") &&
		!strings.Contains(lower, "--") && !strings.Contains(lower, "/*")
}

// mayAllowWrites reports whether a statement may switch the current or later
// transactions from read-only to read-write.
func mayAllowWrites(sql string) bool {
	if !startsWith(sql, "set") && !startsWith(sql, "reset") && !hasSeveralStatements(sql) {
		return false
	}
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "read_only") || strings.Contains(strings.Join(strings.Fields(lower), " "), "read write")
}

// isCommitLike reports whether a text begins with COMMIT or END, even if more follows.
func isCommitLike(sql string) bool {
	return startsWith(sql, "commit") || startsWith(sql, "end")
}

// startsWith reports whether a text begins with a word, ignoring case.
func startsWith(sql, word string) bool {
	sql = skipSpaceAndComments(sql)
	return len(sql) >= len(word) && strings.EqualFold(sql[:len(word)], word)
}

// mayLeaveState reports whether a statement may change session state on the connection
// although its command tag doesn't show it.
func mayLeaveState(sql string) bool {
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "set_config") || strings.Contains(lower, "advisory_lock")
}

// statelessTags are the first words of the command tags of statements that don't change
// session state on their connection.
var statelessTags = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "SHOW": true,
	"BEGIN": true, "START": true, "COMMIT": true, "ROLLBACK": true, "SAVEPOINT": true, "RELEASE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true,
}

// isStateless reports whether a statement with this command tag left no session state
// on its connection.
func isStateless(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	return statelessTags[word]
}

// hasSeveralStatements reports whether a text may hold more than one statement.
func hasSeveralStatements(sql string) bool {
	return strings.Contains(strings.TrimRight(sql, " \t\r\n;"), ";")
}

// maxPrefixSize is how many bytes of a text are searched for its first words.
const maxPrefixSize = 160

func prefix(text string) string {
	if len(text) > maxPrefixSize {
		return text[:maxPrefixSize]
	}
	return text
}

func namesProxySetting(words []string) bool {
	for _, w := range words[1:min(len(words), 3)] {
		if strings.HasPrefix(w, proxySettingPrefix) {
			return true
		}
	}
	return false
}

// mayLockOrWrite reports whether a SELECT may lock rows or write: it has a locking
// clause, INTO, or a data-modifying WITH.
func mayLockOrWrite(text string) bool {
	lower := strings.ToLower(text)
	for _, word := range []string{"for update", "for share", "for no key", "for key", " into ", "insert ", "update ", "delete ", "merge "} {
		if strings.Contains(lower, word) {
			return true
		}
	}
	return false
}

// skipSpaceAndComments removes white space, comments, semicolons and opening
// parentheses before the first word.
func skipSpaceAndComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, sql, _ = strings.Cut(sql, "*/")
		default:
			return sql
		}
	}
}
