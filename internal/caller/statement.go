package caller

import (
	"strings"
)

// kind is what a statement means to routing.
type kind string

const (
	kindRead          kind = "read"
	kindWrite         kind = "write"
	kindBegin         kind = "begin"
	kindBeginReadOnly kind = "begin-read-only"
	kindEnd           kind = "end"
	kindOwn           kind = "own"
	kindEmpty         kind = "empty"
)

// ownPrefix marks savoryramp's own settings.
const ownPrefix = "savoryramp."

// classify tells what a statement text means, from its first words alone. What it
// can't tell counts as a write, which the primary takes. A read that turns out to
// write is refused by the replica (25006) before it has run.
func classify(sql string) kind {
	text := strings.TrimRight(skipSpace(sql), " \t\r\n;")
	words := strings.Fields(strings.ToLower(head(text)))
	if len(words) == 0 {
		return kindEmpty
	}
	more := several(text)
	switch words[0] {
	case "begin", "start":
		if more {
			return kindWrite
		}
		if readsOnly(strings.ToLower(text)) {
			return kindBeginReadOnly
		}
		return kindBegin
	case "commit", "end", "rollback", "abort":
		// Not one to a savepoint, nor of a prepared transaction.
		if !more && plainEnd.MatchString(bare(text)) {
			return kindEnd
		}
	case "set", "show", "reset":
		if !more && own(words) {
			return kindOwn
		}
	case "select", "values", "table", "with":
		if !more && !locks(text) {
			return kindRead
		}
	}
	return kindWrite
}

// readsOnly tells whether a BEGIN says READ ONLY, and neither READ WRITE nor anything
// in a comment.
func readsOnly(lower string) bool {
	return strings.Contains(lower, "read only") && !strings.Contains(lower, "write") &&
		!strings.Contains(lower, "--") && !strings.Contains(lower, "/*")
}

// widens tells whether a text may turn a read-only transaction, or those after it, into
// ones that write.
func widens(sql string) bool {
	if !starts(sql, "set") && !starts(sql, "reset") && !several(sql) {
		return false
	}
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "read_only") || strings.Contains(strings.Join(strings.Fields(lower), " "), "read write")
}

// mayEnd tells whether a text looks like a commit, also when it is no plain one.
func mayEnd(sql string) bool {
	return starts(sql, "commit") || starts(sql, "end")
}

// starts tells whether a text begins with a word, in any case.
func starts(sql, word string) bool {
	sql = skipSpace(sql)
	return len(sql) >= len(word) && strings.EqualFold(sql[:len(word)], word)
}

// leavesState tells whether a statement may change what the connection's next user
// would see, beyond its tag.
func leavesState(sql string) bool {
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "set_config") || strings.Contains(lower, "advisory_lock")
}

// stateless are the first words of the tags whose statements leave nothing behind on
// their connection.
var stateless = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "SHOW": true,
	"BEGIN": true, "START": true, "COMMIT": true, "ROLLBACK": true, "SAVEPOINT": true, "RELEASE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true,
}

// leavesNothing tells by its tag whether a statement left its connection as it was.
func leavesNothing(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	return stateless[word]
}

// several tells whether a text may hold more than one statement.
func several(sql string) bool {
	return strings.Contains(strings.TrimRight(sql, " \t\r\n;"), ";")
}

// headSize is how much of a statement is looked at for its first words.
const headSize = 160

func head(text string) string {
	if len(text) > headSize {
		return text[:headSize]
	}
	return text
}

func own(words []string) bool {
	for _, w := range words[1:min(len(words), 3)] {
		if strings.HasPrefix(w, ownPrefix) {
			return true
		}
	}
	return false
}

// locks tells whether a SELECT may lock or write: a locking clause, INTO, or a
// data-modifying WITH.
func locks(text string) bool {
	lower := strings.ToLower(text)
	for _, word := range []string{"for update", "for share", "for no key", "for key", " into ", "insert ", "update ", "delete ", "merge "} {
		if strings.Contains(lower, word) {
			return true
		}
	}
	return false
}

// skipSpace drops white space and comments before the first word.
func skipSpace(sql string) string {
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
