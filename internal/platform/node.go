package platform

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// cursor is a place in a YAML text.
type cursor struct {
	list *[]Mistake
	node *yaml.Node
	path string
	// lines is added to the node's own line number.
	lines int
}

// fields are the values of a mapping by name.
type fields struct {
	cursor
	values map[string]cursor
}

// root reads one YAML text that was found after the given line of its document.
func root(text []byte, list *[]Mistake, path string, lines int) (cursor, bool) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document, second yaml.Node
	c := cursor{list: list, node: &yaml.Node{Line: 1}, path: path, lines: lines}
	err := decoder.Decode(&document)
	if err == io.EOF {
		c.mistake("is empty")
		return c, false
	}
	if err != nil {
		text := ""
		c.node.Line, text = syntaxError(err)
		c.mistake("%s", text)
		return c, false
	}
	if err := decoder.Decode(&second); err != io.EOF {
		c.node.Line = max(second.Line, 1)
		c.mistake("must be one YAML document")
		return c, false
	}
	c.node = document.Content[0]
	return c, true
}

// syntaxError takes the line out of the parser's message.
func syntaxError(err error) (line int, text string) {
	text = strings.TrimPrefix(err.Error(), "yaml: ")
	place, rest, found := strings.Cut(text, ": ")
	if !found {
		return 1, text
	}
	if _, err := fmt.Sscanf(place, "line %d", &line); err != nil {
		return 1, text
	}
	return line, rest
}

func (c cursor) mistake(format string, args ...any) {
	*c.list = append(*c.list, Mistake{Line: c.lines + c.node.Line, Path: c.path, Text: fmt.Sprintf(format, args...)})
}

func (c cursor) at(node *yaml.Node, path string) cursor {
	return cursor{list: c.list, node: node, path: path, lines: c.lines}
}

func (c cursor) child(name string) string {
	if c.path == "" {
		return name
	}
	return c.path + "." + name
}

// object reads a mapping that may hold the named fields only.
func (c cursor) object(names ...string) (fields, bool) {
	f := fields{cursor: c, values: map[string]cursor{}}
	if c.node.Kind != yaml.MappingNode {
		c.mistake("must be a mapping")
		return f, false
	}
	for i := 0; i+1 < len(c.node.Content); i += 2 {
		f.add(c.node.Content[i], c.node.Content[i+1], names)
	}
	return f, true
}

func (f fields) add(key, value *yaml.Node, names []string) {
	place := f.at(key, f.child(key.Value))
	if earlier, found := f.values[key.Value]; found {
		place.mistake("is given twice, first in line %d", f.lines+earlier.node.Line)
		return
	}
	for _, name := range names {
		if key.Kind == yaml.ScalarNode && key.Value == name {
			f.values[name] = f.at(value, place.path)
			return
		}
	}
	place.mistake("unknown field")
}

func (f fields) optional(name string) (cursor, bool) {
	c, found := f.values[name]
	return c, found
}

func (f fields) required(name string) (cursor, bool) {
	c, found := f.values[name]
	if !found {
		f.at(f.node, f.child(name)).mistake("is missing")
	}
	return c, found
}

// each calls read for every item of a list that must not be empty.
func (f fields) each(name string, read func(cursor)) {
	c, found := f.required(name)
	if !found {
		return
	}
	if c.node.Kind != yaml.SequenceNode {
		c.mistake("must be a list")
		return
	}
	if len(c.node.Content) == 0 {
		c.mistake("must not be empty")
	}
	for i, node := range c.node.Content {
		read(c.at(node, c.path+"["+strconv.Itoa(i)+"]"))
	}
}

func (f fields) text(name string) string {
	c, found := f.required(name)
	if !found {
		return ""
	}
	return c.text()
}

func (f fields) optionalText(name string) string {
	c, found := f.optional(name)
	if !found {
		return ""
	}
	return c.text()
}

func (f fields) positive(name string) int {
	c, found := f.required(name)
	if !found {
		return 0
	}
	return c.positive()
}

func (f fields) boolean(name string) bool {
	c, found := f.optional(name)
	if !found {
		return false
	}
	return c.boolean()
}

func (f fields) duration(name string) time.Duration {
	c, found := f.optional(name)
	if !found {
		return 0
	}
	return c.duration()
}

// text reads a string that must not be empty.
func (c cursor) text() string {
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!str" {
		c.mistake("must be a text")
		return ""
	}
	if c.node.Value == "" {
		c.mistake("must not be empty")
	}
	return c.node.Value
}

// positive reads a whole number above zero.
func (c cursor) positive() int {
	var number int
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!int" || c.node.Decode(&number) != nil {
		c.mistake("must be a whole number")
		return 0
	}
	if number <= 0 {
		c.mistake("must be above zero")
	}
	if number > maxNumber {
		c.mistake("must be at most %d", maxNumber)
	}
	return number
}

func (c cursor) boolean() bool {
	var value bool
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!bool" || c.node.Decode(&value) != nil {
		c.mistake("must be true or false")
	}
	return value
}

// duration reads Go's notation, not below zero.
func (c cursor) duration() time.Duration {
	text := c.text()
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		c.mistake("must be a duration such as 500ms or 10s")
		return 0
	}
	if value < 0 {
		c.mistake("must not be below zero")
	}
	return value
}

// rate reads "200/s" or "6000/m".
func (c cursor) rate() RequestsPerSecond {
	text := c.text()
	if text == "" {
		return 0
	}
	count, unit, _ := strings.Cut(text, "/")
	number, err := strconv.ParseFloat(count, 64)
	seconds := map[string]float64{"s": 1, "m": 60}[unit]
	if err != nil || seconds == 0 || number != number || number > maxRate {
		c.mistake("must be a rate such as 200/s or 6000/m")
		return 0
	}
	if number <= 0 {
		c.mistake("must be above zero")
	}
	return RequestsPerSecond(number / seconds)
}
