package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// The settings that savoryramp answers itself and never forwards.
const (
	settingSession    = "savoryramp.session"
	settingStaleness  = "savoryramp.max_staleness"
	settingIdempotent = "savoryramp.idempotent"
	settingVM         = "savoryramp.vm"
)

// settings are a session's own.
type settings struct {
	// maxStaleness is nil until the session states one; 0 is no bound.
	maxStaleness *time.Duration
	// idempotent requests may be run again when their outcome is unknown.
	idempotent bool
}

// set changes one setting. ErrSetting for a name or value that isn't known.
func (s *settings) set(name, value string) error {
	value = strings.Trim(value, "' \"")
	switch name {
	case settingStaleness:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return ErrSetting.New("%s must be a duration such as 5s, not %q", name, value)
		}
		s.maxStaleness = &d
	case settingIdempotent:
		on, err := parseSwitch(value)
		if err != nil {
			return err
		}
		s.idempotent = on
	default:
		return ErrSetting.New("no setting %s that can be set here", name)
	}
	return nil
}

func parseSwitch(value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		return false, ErrSetting.New("%q is neither on nor off", value)
	}
	return on, nil
}

// staleness gives the bound that applies to a read.
func (s *settings) staleness(d *platform.Database) time.Duration {
	if s.maxStaleness != nil {
		return *s.maxStaleness
	}
	return d.MaxStaleness
}

// show gives a setting's text.
func (s *Session) show(name string) (string, error) {
	switch name {
	case settingSession:
		return s.token(), nil
	case settingStaleness:
		return s.settings.staleness(s.database).String(), nil
	case settingIdempotent:
		if s.settings.idempotent {
			return "on", nil
		}
		return "off", nil
	case settingVM:
		return string(s.server.VM), nil
	}
	return "", ErrSetting.New("no setting %s", name)
}

// own runs a statement on savoryramp's own settings: the value to show, or the tag.
func (s *Session) own(sql string) (name, value, tag string, err error) {
	text := strings.TrimRight(skipSpace(sql), " \t\r\n;")
	words := strings.Fields(strings.Replace(text, "=", " = ", 1))
	verb := strings.ToUpper(words[0])
	rest := words[1:]
	if verb == "SET" && len(rest) > 0 && (strings.EqualFold(rest[0], "session") || strings.EqualFold(rest[0], "local")) {
		rest = rest[1:]
	}
	name = strings.ToLower(rest[0])
	switch verb {
	case "SHOW":
		value, err = s.show(name)
	case "RESET":
		err = s.reset(name)
	default:
		if len(rest) < 3 {
			return name, "", verb, ErrSetting.New("%q has no value", text)
		}
		err = s.settings.set(name, strings.Join(rest[2:], " "))
	}
	return name, value, verb, err
}

func (s *Session) reset(name string) error {
	switch name {
	case settingStaleness:
		s.settings.maxStaleness = nil
	case settingIdempotent:
		s.settings.idempotent = false
	default:
		return ErrSetting.New("no setting %s that can be reset", name)
	}
	return nil
}
