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
type proxySettings struct {
	// maxStaleness is nil until the session states one; 0 is no bound.
	maxStaleness *time.Duration
	// idempotent requests may be run again when their outcome is unknown.
	idempotent bool
}

// set changes one setting. ErrSetting for a name or value that isn't known.
func (s *proxySettings) set(name, value string) error {
	value = strings.Trim(value, "' \"")
	switch name {
	case settingStaleness:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return ErrInvalidSetting.New("%s must be a duration such as 5s, not %q", name, value)
		}
		s.maxStaleness = &d
	case settingIdempotent:
		on, err := parseOnOff(value)
		if err != nil {
			return err
		}
		s.idempotent = on
	default:
		return ErrInvalidSetting.New("no setting %s that can be set here", name)
	}
	return nil
}

func parseOnOff(value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		return false, ErrInvalidSetting.New("%q is neither on nor off", value)
	}
	return on, nil
}

// staleness gives the bound that applies to a read.
func (s *proxySettings) maxStalenessFor(d *platform.Database) time.Duration {
	if s.maxStaleness != nil {
		return *s.maxStaleness
	}
	return d.MaxStaleness
}

// show gives a setting's text.
func (s *Session) showProxySetting(name string) (string, error) {
	switch name {
	case settingSession:
		return s.sessionToken(), nil
	case settingStaleness:
		return s.proxySettings.maxStalenessFor(s.database).String(), nil
	case settingIdempotent:
		if s.proxySettings.idempotent {
			return "on", nil
		}
		return "off", nil
	case settingVM:
		return string(s.server.VM), nil
	}
	return "", ErrInvalidSetting.New("no setting %s", name)
}

// own runs a statement on savoryramp's own settings: the value to show, or the tag.
func (s *Session) runProxySetting(sql string) (name, value, tag string, err error) {
	text := strings.TrimRight(skipSpaceAndComments(sql), " \t\r\n;")
	words := strings.Fields(strings.Replace(text, "=", " = ", 1))
	command := strings.ToUpper(words[0])
	arguments := words[1:]
	if command == "SET" && len(arguments) > 0 && (strings.EqualFold(arguments[0], "session") || strings.EqualFold(arguments[0], "local")) {
		arguments = arguments[1:]
	}
	name = strings.ToLower(arguments[0])
	switch command {
	case "SHOW":
		value, err = s.showProxySetting(name)
	case "RESET":
		err = s.resetProxySetting(name)
	default:
		if len(arguments) < 3 {
			return name, "", command, ErrInvalidSetting.New("%q has no value", text)
		}
		err = s.proxySettings.set(name, strings.Join(arguments[2:], " "))
	}
	return name, value, command, err
}

func (s *Session) resetProxySetting(name string) error {
	switch name {
	case settingStaleness:
		s.proxySettings.maxStaleness = nil
	case settingIdempotent:
		s.proxySettings.idempotent = false
	default:
		return ErrInvalidSetting.New("no setting %s that can be reset", name)
	}
	return nil
}
