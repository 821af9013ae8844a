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

// The values below parse one flag or argument each. Their errors name it as typed,
// what was wrong and what to give instead.

// durationValue parses a span of time of at least minimum.
type durationValue struct {
	name    string
	minimum time.Duration
	target  *time.Duration
}

func (v durationValue) String() string { return v.target.String() }

func (v durationValue) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return ErrUsage.New("%s: %q is no duration; give one with its unit, like 30s or 500ms", v.name, text)
	}
	if d < v.minimum {
		return ErrUsage.New("%s: %s is too short; give at least %s", v.name, d, v.minimum)
	}
	*v.target = d
	return nil
}

// addressValue parses "host:port" with the host as an IP number.
type addressValue struct {
	name   string
	target *platform.Address
}

func (v addressValue) String() string { return string(*v.target) }

func (v addressValue) Set(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return ErrUsage.New("%s: %q is no address; give an IP number and a port, like 127.0.0.1:6432", v.name, text)
	}
	*v.target = platform.Address(text)
	return nil
}

// addressesValue parses addresses set apart by commas.
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
		return ErrUsage.New("%s: %q is no endpoint; give a URL like http://127.0.0.1:8000", v.name, text)
	}
	*v.target = text
	return nil
}

// choiceValue takes one of a few words.
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
	return ErrUsage.New("%s: %q isn't known; give one of %s", v.name, text, strings.Join(v.choices, ", "))
}

// nameValue takes a name of the kind that documents use.
type nameValue struct {
	name   string
	target *string
}

func (v nameValue) String() string { return *v.target }

func (v nameValue) Set(text string) error {
	if text == "" || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") != "" {
		return ErrUsage.New("%s: %q is no name; give small letters, digits, dots, hyphens and underscores, like a-1", v.name, text)
	}
	*v.target = text
	return nil
}

// command adds flags that are environment variables too.
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
