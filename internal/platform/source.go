package platform

import (
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// source is a document's text in the lines that YAML nodes point to.
type source struct {
	lines []string
}

func newSource(body []byte) *source {
	return &source{lines: strings.SplitAfter(string(body), "\n")}
}

// replace puts a value in place of a plain scalar.
func (s *source) replace(node *yaml.Node, value string) {
	line, at := s.place(node)
	s.lines[line] = s.lines[line][:at] + value + s.lines[line][at+len(node.Value):]
}

// insertField adds a field to a mapping as its second one.
func (s *source) insertField(mapping *yaml.Node, field string) {
	second := mapping.Content[2]
	line, at := s.place(second)
	if mapping.Style&yaml.FlowStyle != 0 {
		s.lines[line] = s.lines[line][:at] + field + ", " + s.lines[line][at:]
		return
	}
	s.lines[line] = s.lines[line][:at] + field + "\n" + s.lines[line]
}

// addItem adds a mapping at the end of a list, or before its last item if the list is
// in flow style, and gives its index.
func (s *source) addItem(list *yaml.Node, fields []string) int {
	count := len(list.Content)
	last := list.Content[len(list.Content)-1]
	if list.Style&yaml.FlowStyle != 0 {
		line, at := s.place(last)
		s.lines[line] = s.lines[line][:at] + "{" + strings.Join(fields, ", ") + "}, " + s.lines[line][at:]
		return count - 1
	}
	line := lastLine(last) - 1
	if !strings.HasSuffix(s.lines[line], "\n") {
		s.lines[line] += "\n"
	}
	indent := strings.Repeat(" ", list.Column-1)
	s.lines[line] += indent + "- " + strings.Join(fields, "\n"+indent+"  ") + "\n"
	return count
}

// place gives a node's line, counted from 0, and its place in the line, in bytes.
func (s *source) place(node *yaml.Node) (line, at int) {
	line = node.Line - 1
	runes := []rune(s.lines[line])
	return line, len(string(runes[:node.Column-1]))
}

func lastLine(node *yaml.Node) int {
	last := node.Line
	for _, n := range node.Content {
		last = max(last, lastLine(n))
	}
	return last
}

// checked gives the text if it says just what is wanted.
func (s *source) checked(want *Document) ([]byte, error) {
	text := []byte(strings.Join(s.lines, ""))
	document, err := Parse(text)
	if err != nil {
		return nil, ErrEdit.Wrap(err, "the text can't be edited in place")
	}
	if !reflect.DeepEqual(document, want) {
		return nil, ErrEdit.New("the text can't be edited in place")
	}
	return text, nil
}
