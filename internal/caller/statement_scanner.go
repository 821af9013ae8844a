package caller

import "strings"

// statementScanner reads an SQL text token by token, by the lexical rules of PostgreSQL,
// to split it into statements.
type statementScanner struct {
	text   string
	offset int
}

// splitStatements returns the statements of a text, without empty ones.
func splitStatements(text string) []string {
	if !hasSeveralStatements(text) {
		return []string{text}
	}
	var list []string
	s, start := &statementScanner{text: text}, 0
	for s.offset < len(text) {
		if text[s.offset] != ';' {
			s.skipToken()
			continue
		}
		list = appendStatement(list, text[start:s.offset])
		s.offset++
		start = s.offset
	}
	return appendStatement(list, text[start:])
}

func appendStatement(list []string, text string) []string {
	if skipSpaceAndComments(text) == "" {
		return list
	}
	return append(list, strings.TrimSpace(text))
}

// skipToken skips a character, or a whole string constant, quoted identifier or
// comment.
func (s *statementScanner) skipToken() {
	rest := s.text[s.offset:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.skipPast(2, "\n")
	case strings.HasPrefix(rest, "/*"):
		s.skipComment()
	case rest[0] == '\'' && s.isEscapeString():
		s.skipEscapeString()
	case rest[0] == '\'', rest[0] == '"':
		s.skipPast(1, rest[:1])
	case rest[0] == '$' && (s.offset == 0 || !isIdentifierByte(s.text[s.offset-1])):
		s.skipDollarQuoted(rest)
	default:
		s.offset++
	}
}

// skipPast skips past the next terminator, or to the end of the text if there is none.
func (s *statementScanner) skipPast(start int, terminator string) {
	n := strings.Index(s.text[s.offset+start:], terminator)
	if n < 0 {
		s.offset = len(s.text)
		return
	}
	s.offset += start + n + len(terminator)
}

// skipComment skips a block comment, which may contain nested ones.
func (s *statementScanner) skipComment() {
	depth := 0
	for s.offset < len(s.text) {
		rest := s.text[s.offset:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.offset += 2
		default:
			s.offset++
		}
		if depth == 0 {
			return
		}
	}
}

// isEscapeString reports whether the quote at the current offset begins an escape
// string (E'...').
func (s *statementScanner) isEscapeString() bool {
	if s.offset == 0 || s.text[s.offset-1]|0x20 != 'e' {
		return false
	}
	return s.offset == 1 || !isIdentifierByte(s.text[s.offset-2])
}

// skipEscapeString skips a string constant with backslash escapes.
func (s *statementScanner) skipEscapeString() {
	for s.offset++; s.offset < len(s.text); s.offset++ {
		switch s.text[s.offset] {
		case '\\':
			s.offset++
		case '\'':
			s.offset++
			return
		}
	}
	s.offset = len(s.text)
}

// skipDollarQuoted skips a dollar-quoted string, or a single dollar sign.
func (s *statementScanner) skipDollarQuoted(rest string) {
	n := 1
	for n < len(rest) && isIdentifierByte(rest[n]) {
		n++
	}
	if n == len(rest) || rest[n] != '$' || n > 1 && rest[1] >= '0' && rest[1] <= '9' {
		s.offset++
		return
	}
	s.skipPast(n+1, rest[:n+1])
}

func isIdentifierByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80
}
