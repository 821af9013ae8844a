package fakeupstream

import (
	"regexp"
	"strconv"
	"strings"
)

// scanner walks over SQL text and tells code from strings, quoted names and comments.
type scanner struct {
	text string
	at   int
}

// skip moves past a string, quoted name or comment that starts here; it tells
// whether there was one.
func (s *scanner) skip() bool {
	rest := s.text[s.at:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.past(rest, 2, "\n")
	case strings.HasPrefix(rest, "/*"):
		s.past(rest, 2, "*/")
	case rest[0] == '\'' || rest[0] == '"':
		s.past(rest, 1, rest[:1])
	default:
		return false
	}
	return true
}

func (s *scanner) past(rest string, from int, end string) {
	n := strings.Index(rest[from:], end)
	if n < 0 {
		s.at = len(s.text)
		return
	}
	s.at += from + n + len(end)
}

// split cuts a script at its semicolons and drops empty statements.
func split(script string) []string {
	var list []string
	s, start := &scanner{text: script}, 0
	cut := func(end int) {
		if text := strings.TrimSpace(script[start:end]); text != "" {
			list = append(list, text)
		}
		start = end + 1
	}
	for s.at < len(script) {
		if s.skip() {
			continue
		}
		if script[s.at] == ';' {
			cut(s.at)
		}
		s.at++
	}
	cut(len(script))
	return list
}

// translate writes PostgreSQL's placeholders and casts the engine's way, and tells
// the highest placeholder.
func translate(text string) (translated string, parameters int) {
	var b strings.Builder
	s := &scanner{text: text}
	for s.at < len(text) {
		start := s.at
		switch {
		case s.skip():
			b.WriteString(text[start:s.at])
		case text[s.at] == '$' && digits(text[s.at+1:]) > 0:
			n := digits(text[s.at+1:])
			number, _ := strconv.Atoi(text[s.at+1 : s.at+1+n])
			parameters = max(parameters, number)
			b.WriteString("?" + text[s.at+1:s.at+1+n])
			s.at += 1 + n
		case castAt.MatchString(text[s.at:]):
			s.at += len(castAt.FindString(text[s.at:]))
		default:
			b.WriteByte(text[s.at])
			s.at++
		}
	}
	return b.String(), parameters
}

func digits(text string) int {
	n := 0
	for n < len(text) && text[n] >= '0' && text[n] <= '9' {
		n++
	}
	return n
}

var (
	castAt  = regexp.MustCompile(`^::[a-zA-Z_][a-zA-Z0-9_]*`)
	locking = regexp.MustCompile(`(?is)\s+for\s+(no\s+key\s+update|update|key\s+share|share)(\s+(nowait|skip\s+locked))?\s*$`)
	castEnd = regexp.MustCompile(`::[a-zA-Z_][a-zA-Z0-9_]*\s*$`)
	word    = regexp.MustCompile(`^[a-zA-Z_]+`)
	call    = regexp.MustCompile(`(?is)^select\s+(savoryramp_status|savoryramp_fence|savoryramp_promote|savoryramp_follow|pg_sleep)\s*\((.*)\)(?:\s+as\s+\w+)?$`)
)

// keyword is the statement's first word in capitals.
func keyword(text string) string {
	s := &scanner{text: text}
	for s.at < len(text) {
		space := strings.ContainsRune(" \t\r\n(", rune(text[s.at]))
		if space {
			s.at++
		} else if c := text[s.at]; c != '-' && c != '/' || !s.skip() {
			break
		}
	}
	return strings.ToUpper(word.FindString(text[s.at:]))
}
