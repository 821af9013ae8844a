package fakeupstream

import (
	"context"
	"maps"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

var (
	rollbackTo  = regexp.MustCompile(`(?is)^rollback\s+(work\s+|transaction\s+)?to\s`)
	modes       = regexp.MustCompile(`(?is)\bread\s+(only|write)\b`)
	modeOn      = regexp.MustCompile(`(?is)^set\s+(local\s+)?(transaction\b.*\bread\s+only\b|transaction_read_only\W.*\bon\b)`)
	modeOff     = regexp.MustCompile(`(?is)^set\s+(local\s+)?(transaction\b.*\bread\s+write\b|transaction_read_only\W.*\boff\b)`)
	andChain    = regexp.MustCompile(`(?is)\band\s+chain$`)
	setting     = regexp.MustCompile(`(?is)^set\s+(?:session\s+|local\s+)?([\w.]+)\s*(?:=|\bto\b)\s*(.*)$`)
	deallocated = regexp.MustCompile(`(?is)^deallocate\s+(?:prepare\s+)?"?([^"]+)"?$`)
)

// endsFailed tells whether a statement runs in a failed transaction.
func endsFailed(c control) bool {
	switch c.verb {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	}
	return false
}

// control runs what concerns the session or the transaction.
func (s *session) control(ctx context.Context, c control) (*result, error) {
	done := &result{verb: c.verb, plain: true}
	switch c.verb {
	case "BEGIN", "START":
		// The last mode counts.
		done.verb = "BEGIN"
		s.tx.explicit = true
		if list := modes.FindAllStringSubmatch(c.text, -1); len(list) > 0 {
			s.tx.readOnly = strings.EqualFold(list[len(list)-1][1], "only")
		}
	case "COMMIT", "END":
		return s.chained(c, done, func() error { return s.finish(done) })
	case "ROLLBACK", "ABORT":
		done.verb = "ROLLBACK"
		if rollbackTo.MatchString(c.text) {
			return done, s.savepoint(ctx, c.text)
		}
		return s.chained(c, done, func() error {
			s.closePortals()
			s.rollback()
			return nil
		})
	case "SAVEPOINT", "RELEASE":
		return done, s.savepoint(ctx, c.text)
	case "SET":
		if off := modeOff.MatchString(c.text); off || modeOn.MatchString(c.text) {
			return done, s.setMode(off)
		}
		if parts := setting.FindStringSubmatch(c.text); parts != nil {
			s.settings[parts[1]] = strings.Trim(parts[2], "' ")
		}
	case "SHOW":
		name := settingName(c.text)
		return text(name, s.settings[name], "SHOW"), nil
	case "DISCARD":
		return s.discard(c)
	case "DEALLOCATE":
		s.deallocate(c.text)
	case "LISTEN", "UNLISTEN":
		s.listen(c)
	}
	return done, nil
}

// setMode changes what the transaction may do; to writing only before its first query.
func (s *session) setMode(writes bool) error {
	if !writes || !s.tx.readOnly {
		s.tx.readOnly = !writes
		return nil
	}
	switch {
	case s.server.workNow() == nil:
		return refuse(stateUnsupported, "cannot set transaction read-write mode during recovery")
	case s.tx.id > 0:
		return refuse(stateActive, "transaction read-write mode must be set before any query")
	}
	s.tx.readOnly = false
	return nil
}

// chained ends the transaction; AND CHAIN begins the next of the same modes.
func (s *session) chained(c control, done *result, end func() error) (*result, error) {
	chain := andChain.MatchString(c.text)
	if chain && !s.tx.explicit {
		return nil, refuse(stateNoTransaction, "%s AND CHAIN can only be used in transaction blocks", done.verb)
	}
	next := transaction{explicit: true, decided: true, readOnly: s.tx.readOnly}
	if err := end(); err != nil || !chain {
		return done, err
	}
	s.tx = next
	return done, nil
}

// finish commits, or rolls back what has failed.
func (s *session) finish(done *result) error {
	done.verb = "COMMIT"
	s.closePortals()
	if s.tx.failed {
		done.verb = "ROLLBACK"
		s.rollback()
		return nil
	}
	return s.commit()
}

// savepoint passes on SAVEPOINT, RELEASE and ROLLBACK TO; before the first write
// they are kept for it.
func (s *session) savepoint(ctx context.Context, text string) error {
	if !s.tx.explicit {
		return refuse(stateNotReady, "savepoints are for transaction blocks only")
	}
	if s.tx.writing == nil {
		s.tx.savepoints = append(s.tx.savepoints, text)
		s.tx.failed = false
		return nil
	}
	w, err := s.write(ctx)
	if err != nil {
		return err
	}
	if _, err := w.conn.ExecContext(ctx, text); err != nil {
		return engineError(ctx, err)
	}
	s.tx.failed = false
	w.statements = append(w.statements, Statement{SQL: text})
	return nil
}

func (s *session) discard(c control) (*result, error) {
	if s.tx.explicit {
		return nil, refuse(stateActive, "DISCARD ALL cannot run inside a transaction block")
	}
	s.closePortals()
	clear(s.statements)
	s.settings = maps.Clone(s.defaults)
	s.setListening(false)
	return &result{verb: strings.ToUpper(c.text), plain: true}, nil
}

func (s *session) deallocate(text string) {
	parts := deallocated.FindStringSubmatch(text)
	if parts == nil {
		return
	}
	if strings.EqualFold(parts[1], "all") {
		clear(s.statements)
		return
	}
	delete(s.statements, parts[1])
}

func (s *session) listen(c control) {
	words := strings.Fields(c.text)
	channel := strings.Trim(words[len(words)-1], `"`)
	if channel == positionChannel || channel == "*" {
		s.setListening(c.verb == "LISTEN")
	}
}

func (s *session) setListening(on bool) {
	if on && !s.notifying {
		s.notifying = true
		s.server.running.Go(s.notify)
	}
	s.listening = on
}

func settingName(text string) string {
	words := strings.Fields(text)
	return words[len(words)-1]
}

// text is a result of one row with one column.
func text(name, value, verb string) *result {
	return &result{
		columns: []column{{name: name, oid: oidText}}, rows: [][]any{{value}},
		verb: verb, plain: verb != "SELECT",
	}
}

// call runs one of the functions that the server answers itself.
func (s *session) call(ctx context.Context, f function, args []any) (*result, error) {
	values, err := f.values(args)
	if err != nil {
		return nil, err
	}
	switch f.name {
	case "pg_sleep":
		return s.sleep(ctx, values)
	case "savoryramp_fence":
		err = s.server.Fence(term(values))
	case "savoryramp_promote":
		err = s.server.Promote(ctx, term(values))
	case "savoryramp_follow":
		if len(values) < 2 {
			return nil, refuse(stateNoFunction, "savoryramp_follow takes a term and a server")
		}
		err = s.server.Follow(term(values), ServerName(values[1]))
	}
	if err != nil {
		return nil, err
	}
	s.server.group.mu.Lock()
	defer s.server.group.mu.Unlock()
	return text(f.name, s.server.statusText(), "SELECT"), nil
}

// values are the arguments as texts, literals and parameters alike.
func (f function) values(args []any) ([]string, error) {
	var list []string
	for _, a := range f.arguments {
		if strings.HasPrefix(a, "$") {
			n, err := strconv.Atoi(a[1:])
			if err != nil || n < 1 || n > len(args) {
				return nil, refuse(stateProtocol, "parameter %s is not bound", a)
			}
			list = append(list, textOf(args[n-1], oidText))
			continue
		}
		list = append(list, strings.Trim(a, "'"))
	}
	if len(list) == 0 && f.name != "savoryramp_status" {
		return nil, refuse(stateNoFunction, "function %s needs arguments", f.name)
	}
	return list, nil
}

func term(values []string) position.Term {
	n, _ := strconv.ParseInt(values[0], 10, 64)
	return position.Term(n)
}

// sleep holds a slot for the given seconds.
func (s *session) sleep(ctx context.Context, values []string) (*result, error) {
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return nil, refuse(stateBadText, "%q is no number of seconds", values[0])
	}
	p := s.server.Applied()
	if s.read == nil {
		s.read = &p
	}
	release, err := s.server.slot(ctx)
	if err != nil {
		return nil, engineError(ctx, err)
	}
	defer release()
	if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return nil, engineError(ctx, err)
	}
	return text("pg_sleep", "", "SELECT"), nil
}
