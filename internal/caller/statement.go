package caller

import (
	"strings"
)

// kind is what a statement means to routing.
type statementKind string

const (
	kindRead          statementKind = "read"
	kindWrite         statementKind = "write"
	kindBegin         statementKind = "begin"
	kindBeginReadOnly statementKind = "begin-read-only"
	kindEnd           statementKind = "end"
	kindProxySetting  statementKind = "own"
	kindEmpty         statementKind = "empty"
)

// ownPrefix marks savoryramp's own settings.
const proxySettingPrefix = "savoryramp."

// classify tells what a statement text means, from its first words alone. What it
// can't tell counts as a write, which the primary takes. A read that turns out to
// write is refused by the replica (25006) before it has run.
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
		// Not one to a savepoint, nor of a prepared transaction.
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

// readsOnly tells whether a BEGIN says READ ONLY, and neither READ WRITE nor anything
// in a comment.
func isBeginReadOnly(lower string) bool {
	return strings.Contains(lower, "read only") && !strings.Contains(lower, "write") &&
		!strings.Contains(lower, "--") && !strings.Contains(lower, "/*")
}

// widens tells whether a text may turn a read-only transaction, or those after it, into
// ones that write.
func mayAllowWrites(sql string) bool {
	if !startsWith(sql, "set") && !startsWith(sql, "reset") && !hasSeveralStatements(sql) {
		return false
	}
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "read_only") || strings.Contains(strings.Join(strings.Fields(lower), " "), "read write")
}

// mayEnd tells whether a text looks like a commit, also when it is no plain one.
func isCommitLike(sql string) bool {
	return startsWith(sql, "commit") || startsWith(sql, "end")
}

// starts tells whether a text begins with a word, in any case.
func startsWith(sql, word string) bool {
	sql = skipSpaceAndComments(sql)
	return len(sql) >= len(word) && strings.EqualFold(sql[:len(word)], word)
}

// leavesState tells whether a statement may change what the connection's next user
// would see, beyond its tag.
func mayLeaveState(sql string) bool {
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "set_config") || strings.Contains(lower, "advisory_lock")
}

// stateless are the first words of the tags whose statements leave nothing behind on
// their connection.
var statelessTags = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "SHOW": true,
	"BEGIN": true, "START": true, "COMMIT": true, "ROLLBACK": true, "SAVEPOINT": true, "RELEASE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true,
}

// leavesNothing tells by its tag whether a statement left its connection as it was.
func isStateless(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	return statelessTags[word]
}

// several tells whether a text may hold more than one statement.
func hasSeveralStatements(sql string) bool {
	return strings.Contains(strings.TrimRight(sql, " \t\r\n;"), ";")
}

// headSize is how much of a statement is looked at for its first words.
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

// locks tells whether a SELECT may lock or write: a locking clause, INTO, or a
// data-modifying WITH.
func mayLockOrWrite(text string) bool {
	lower := strings.ToLower(text)
	for _, word := range []string{"for update", "for share", "for no key", "for key", " into ", "insert ", "update ", "delete ", "merge "} {
		if strings.Contains(lower, word) {
			return true
		}
	}
	return false
}

// skipSpace drops white space and comments before the first word.
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
