package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// The settings that the proxy handles itself and never forwards to servers.
const (
	settingSession    = "savoryramp.session"
	settingStaleness  = "savoryramp.max_staleness"
	settingIdempotent = "savoryramp.idempotent"
	settingVM         = "savoryramp.vm"
)

// proxySettings are the savoryramp settings of one session.
type proxySettings struct {
	// maxStaleness is nil until the session sets one; 0 means no limit.
	maxStaleness *time.Duration
	// idempotent allows requests to be run again when their outcome is unknown.
	idempotent bool
}

// set changes one setting. It returns ErrInvalidSetting for an unknown name or an
// invalid value.
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
		enabled, err := parseOnOff(value)
		if err != nil {
			return err
		}
		s.idempotent = enabled
	default:
		return ErrInvalidSetting.New("setting %s doesn't exist or can't be set", name)
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
	enabled, err := strconv.ParseBool(value)
	if err != nil {
		return false, ErrInvalidSetting.New("%q isn't a boolean; use on or off", value)
	}
	return enabled, nil
}

// maxStalenessFor returns the staleness limit for reads of a database.
func (s *proxySettings) maxStalenessFor(d *platform.Database) time.Duration {
	if s.maxStaleness != nil {
		return *s.maxStaleness
	}
	return d.MaxStaleness
}

// showProxySetting returns the value of a setting as text.
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
	return "", ErrInvalidSetting.New("setting %s doesn't exist", name)
}

// runProxySetting runs a SET, SHOW or RESET of a savoryramp setting. It returns the
// value to show, and the command tag.
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
		return ErrInvalidSetting.New("setting %s doesn't exist or can't be reset", name)
	}
	return nil
}
