package operator

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Each of the following types parses the value of one flag or argument. Its errors name
// the flag or argument, the fault and a valid example.

// durationValue parses a duration that must not be below minimum.
type durationValue struct {
	name    string
	minimum time.Duration
	target  *time.Duration
}

func (v durationValue) String() string { return v.target.String() }

func (v durationValue) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return ErrUsage.New("%s: %q is not a duration; use a number with a unit, like 30s or 500ms", v.name, text)
	}
	if d < v.minimum {
		return ErrUsage.New("%s: %s is too short; the minimum is %s", v.name, d, v.minimum)
	}
	*v.target = d
	return nil
}

// addressValue parses "host:port", where the host is an IP address.
type addressValue struct {
	name   string
	target *platform.Address
}

func (v addressValue) String() string { return string(*v.target) }

func (v addressValue) Set(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return ErrUsage.New("%s: %q is not an address; use an IP address and a port, like 127.0.0.1:6432", v.name, text)
	}
	*v.target = platform.Address(text)
	return nil
}

// addressListValue parses comma-separated addresses.
type addressListValue struct {
	name   string
	target *[]platform.Address
}

func (v addressListValue) String() string { return fmt.Sprint(*v.target) }

func (v addressListValue) Set(text string) error {
	for _, part := range strings.Split(text, ",") {
		var a platform.Address
		if err := (addressValue{name: v.name, target: &a}).Set(part); err != nil {
			return err
		}
		*v.target = append(*v.target, a)
	}
	return nil
}

// endpointValue parses the base URL of a service.
type endpointValue struct {
	name   string
	target *string
}

func (v endpointValue) String() string { return *v.target }

func (v endpointValue) Set(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return ErrUsage.New("%s: %q is not an endpoint; use a URL like http://127.0.0.1:8000", v.name, text)
	}
	*v.target = text
	return nil
}

// choiceValue accepts one of a fixed set of words.
type choiceValue struct {
	name    string
	choices []string
	target  *string
}

func (v choiceValue) String() string { return *v.target }

func (v choiceValue) Set(text string) error {
	for _, c := range v.choices {
		if text == c {
			*v.target = text
			return nil
		}
	}
	return ErrUsage.New("%s: %q is not a valid value; use one of %s", v.name, text, strings.Join(v.choices, ", "))
}

// nameValue accepts lower-case letters, digits, dots, hyphens and underscores. The rule for
// names in a document is stricter.
type nameValue struct {
	name   string
	target *string
}

func (v nameValue) String() string { return *v.target }

func (v nameValue) Set(text string) error {
	if text == "" || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") != "" {
		return ErrUsage.New("%s: %q is not a name; use lower-case letters, digits, dots, hyphens and underscores, like a-1", v.name, text)
	}
	*v.target = text
	return nil
}

// flagCommand adds flags that can also be set by environment variables.
type flagCommand struct{ *kingpin.CmdClause }

func (c flagCommand) addFlag(name, help string) *kingpin.FlagClause {
	return c.Flag(name, help).Envar(envVariable(name))
}

func (c flagCommand) addName(name, help string, target *string) {
	c.addFlag(name, help).PlaceHolder("NAME").SetValue(nameValue{"--" + name, target})
}

func (c flagCommand) addAddress(name, help, defaultValue string, target *platform.Address) {
	c.addFlag(name, help).Default(defaultValue).SetValue(addressValue{"--" + name, target})
}

func (c flagCommand) addFile(name, help string, target *string) {
	c.addFlag(name, help).PlaceHolder("FILE").StringVar(target)
}

func (c flagCommand) addChoice(name, help, defaultValue string, choices []string, target *string) {
	c.addFlag(name, help).Default(defaultValue).SetValue(choiceValue{"--" + name, choices, target})
}

func (c flagCommand) addDuration(name, help, defaultValue string, minimum time.Duration, target *time.Duration) {
	c.addFlag(name, help).Default(defaultValue).SetValue(durationValue{"--" + name, minimum, target})
}

func (c flagCommand) addEndpoint(name, help string, target *string) {
	c.addFlag(name, help).PlaceHolder("URL").SetValue(endpointValue{"--" + name, target})
}
