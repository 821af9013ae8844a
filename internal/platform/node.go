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

// cursor is a node of a YAML text, with the means to report mistakes in it.
type cursor struct {
	// mistakes is the list that all cursors of a document append to.
	mistakes *[]Mistake
	node     *yaml.Node
	path     string
	// lineOffset is added to the node's line number, for a YAML text inside another.
	lineOffset int
}

// fields holds the values of a mapping by field name.
type fields struct {
	cursor
	values map[string]cursor
}

// parseYAML parses a text that must be one YAML document and returns its top node.
// lineOffset is the number of lines before the text if it is part of another document.
func parseYAML(text []byte, mistakes *[]Mistake, path string, lineOffset int) (cursor, bool) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document, second yaml.Node
	c := cursor{mistakes: mistakes, node: &yaml.Node{Line: 1}, path: path, lineOffset: lineOffset}
	err := decoder.Decode(&document)
	if err == io.EOF {
		c.addMistake("is empty")
		return c, false
	}
	if err != nil {
		text := ""
		c.node.Line, text = splitSyntaxError(err)
		c.addMistake("%s", text)
		return c, false
	}
	if err := decoder.Decode(&second); err != io.EOF {
		c.node.Line = max(second.Line, 1)
		c.addMistake("must be one YAML document")
		return c, false
	}
	c.node = document.Content[0]
	return c, true
}

// splitSyntaxError splits a message of the YAML parser into its line number and text.
func splitSyntaxError(err error) (line int, text string) {
	text = strings.TrimPrefix(err.Error(), "yaml: ")
	position, rest, found := strings.Cut(text, ": ")
	if !found {
		return 1, text
	}
	if _, err := fmt.Sscanf(position, "line %d", &line); err != nil {
		return 1, text
	}
	return line, rest
}

// addMistake reports a mistake at the node.
func (c cursor) addMistake(format string, args ...any) {
	*c.mistakes = append(*c.mistakes, Mistake{Line: c.lineOffset + c.node.Line, Path: c.path, Text: fmt.Sprintf(format, args...)})
}

// forNode returns a cursor for another node of the same text.
func (c cursor) forNode(node *yaml.Node, path string) cursor {
	return cursor{mistakes: c.mistakes, node: node, path: path, lineOffset: c.lineOffset}
}

// childPath returns the path of a field of the node.
func (c cursor) childPath(name string) string {
	if c.path == "" {
		return name
	}
	return c.path + "." + name
}

// mapping reads a mapping that may have only the named fields. It returns false if the
// node isn't a mapping.
func (c cursor) mapping(names ...string) (fields, bool) {
	f := fields{cursor: c, values: map[string]cursor{}}
	if c.node.Kind != yaml.MappingNode {
		c.addMistake("must be a mapping")
		return f, false
	}
	for i := 0; i+1 < len(c.node.Content); i += 2 {
		f.add(c.node.Content[i], c.node.Content[i+1], names)
	}
	return f, true
}

// add stores a field, or reports that it is unknown or given twice.
func (f fields) add(key, value *yaml.Node, names []string) {
	keyCursor := f.forNode(key, f.childPath(key.Value))
	if earlier, found := f.values[key.Value]; found {
		keyCursor.addMistake("is given twice, first in line %d", f.lineOffset+earlier.node.Line)
		return
	}
	for _, name := range names {
		if key.Kind == yaml.ScalarNode && key.Value == name {
			f.values[name] = f.forNode(value, keyCursor.path)
			return
		}
	}
	keyCursor.addMistake("unknown field")
}

// optional returns the value of a field, if it is there.
func (f fields) optional(name string) (cursor, bool) {
	c, found := f.values[name]
	return c, found
}

// required returns the value of a field, or reports that it is missing.
func (f fields) required(name string) (cursor, bool) {
	c, found := f.values[name]
	if !found {
		f.forNode(f.node, f.childPath(name)).addMistake("is missing")
	}
	return c, found
}

// eachItem calls read for each item of a required list, which must not be empty.
func (f fields) eachItem(name string, read func(cursor)) {
	c, found := f.required(name)
	if !found {
		return
	}
	if c.node.Kind != yaml.SequenceNode {
		c.addMistake("must be a list")
		return
	}
	if len(c.node.Content) == 0 {
		c.addMistake("must not be empty")
	}
	for i, node := range c.node.Content {
		read(c.forNode(node, c.path+"["+strconv.Itoa(i)+"]"))
	}
}

func (f fields) requiredString(name string) string {
	c, found := f.required(name)
	if !found {
		return ""
	}
	return c.stringValue()
}

func (f fields) optionalString(name string) string {
	c, found := f.optional(name)
	if !found {
		return ""
	}
	return c.stringValue()
}

func (f fields) requiredPositiveInt(name string) int {
	c, found := f.required(name)
	if !found {
		return 0
	}
	return c.positiveInt()
}

func (f fields) optionalBool(name string) bool {
	c, found := f.optional(name)
	if !found {
		return false
	}
	return c.boolValue()
}

func (f fields) optionalDuration(name string) time.Duration {
	c, found := f.optional(name)
	if !found {
		return 0
	}
	return c.durationValue()
}

// stringValue reads a string that must not be empty.
func (c cursor) stringValue() string {
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!str" {
		c.addMistake("must be a text")
		return ""
	}
	if c.node.Value == "" {
		c.addMistake("must not be empty")
	}
	return c.node.Value
}

// positiveInt reads an integer from 1 to maxCount.
func (c cursor) positiveInt() int {
	var number int
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!int" || c.node.Decode(&number) != nil {
		c.addMistake("must be a whole number")
		return 0
	}
	if number <= 0 {
		c.addMistake("must be above zero")
	}
	if number > maxCount {
		c.addMistake("must be at most %d", maxCount)
	}
	return number
}

func (c cursor) boolValue() bool {
	var value bool
	if c.node.Kind != yaml.ScalarNode || c.node.Tag != "!!bool" || c.node.Decode(&value) != nil {
		c.addMistake("must be true or false")
	}
	return value
}

// durationValue reads a non-negative duration in Go's notation.
func (c cursor) durationValue() time.Duration {
	text := c.stringValue()
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		c.addMistake("must be a duration such as 500ms or 10s")
		return 0
	}
	if value < 0 {
		c.addMistake("must not be below zero")
	}
	return value
}

// rateValue reads a positive rate such as "200/s" or "6000/m".
func (c cursor) rateValue() RequestsPerSecond {
	text := c.stringValue()
	if text == "" {
		return 0
	}
	count, unit, _ := strings.Cut(text, "/")
	number, err := strconv.ParseFloat(count, 64)
	unitSeconds := map[string]float64{"s": 1, "m": 60}[unit]
	if err != nil || unitSeconds == 0 || number != number || number > maxRate {
		c.addMistake("must be a rate such as 200/s or 6000/m")
		return 0
	}
	if number <= 0 {
		c.addMistake("must be above zero")
	}
	return RequestsPerSecond(number / unitSeconds)
}
