package caller

import "strings"

// script cuts a text into its statements, as a server does.
type script struct {
	text string
	at   int
}

// statements gives the statements of a text, without empty ones.
func statements(text string) []string {
	if !several(text) {
		return []string{text}
	}
	var list []string
	s, start := &script{text: text}, 0
	for s.at < len(text) {
		if text[s.at] != ';' {
			s.step()
			continue
		}
		list = appendStatement(list, text[start:s.at])
		s.at++
		start = s.at
	}
	return appendStatement(list, text[start:])
}

func appendStatement(list []string, text string) []string {
	if skipSpace(text) == "" {
		return list
	}
	return append(list, strings.TrimSpace(text))
}

// step moves past a character, or past a string, quoted name or comment.
func (s *script) step() {
	rest := s.text[s.at:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.past(2, "\n")
	case strings.HasPrefix(rest, "/*"):
		s.comment()
	case rest[0] == '\'' && s.escaped():
		s.escapes()
	case rest[0] == '\'', rest[0] == '"':
		s.past(1, rest[:1])
	case rest[0] == '$' && (s.at == 0 || !inName(s.text[s.at-1])):
		s.dollar(rest)
	default:
		s.at++
	}
}

// past moves behind the next end, to the end of the text without one.
func (s *script) past(from int, end string) {
	n := strings.Index(s.text[s.at+from:], end)
	if n < 0 {
		s.at = len(s.text)
		return
	}
	s.at += from + n + len(end)
}

// comment moves past a comment, in which others may be nested.
func (s *script) comment() {
	depth := 0
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.at += 2
		default:
			s.at++
		}
		if depth == 0 {
			return
		}
	}
}

// escaped tells whether the string that begins here takes backslashes.
func (s *script) escaped() bool {
	if s.at == 0 || s.text[s.at-1]|0x20 != 'e' {
		return false
	}
	return s.at == 1 || !inName(s.text[s.at-2])
}

// escapes moves past a string with backslashes.
func (s *script) escapes() {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '\'':
			s.at++
			return
		}
	}
	s.at = len(s.text)
}

// dollar moves past a string between dollars, or past a dollar.
func (s *script) dollar(rest string) {
	n := 1
	for n < len(rest) && inName(rest[n]) {
		n++
	}
	if n == len(rest) || rest[n] != '$' || n > 1 && rest[1] >= '0' && rest[1] <= '9' {
		s.at++
		return
	}
	s.past(n+1, rest[:n+1])
}

func inName(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80
}
