package platform

import (
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// textEditor edits a document's text at the positions of its YAML nodes. lines keeps the
// line breaks.
type textEditor struct {
	lines []string
}

func newTextEditor(body []byte) *textEditor {
	return &textEditor{lines: strings.SplitAfter(string(body), "\n")}
}

// replaceScalar replaces the text of a plain scalar.
func (s *textEditor) replaceScalar(node *yaml.Node, value string) {
	line, column := s.locate(node)
	s.lines[line] = s.lines[line][:column] + value + s.lines[line][column+len(node.Value):]
}

// insertField inserts a field into a mapping as its second field.
func (s *textEditor) insertField(mapping *yaml.Node, field string) {
	secondKey := mapping.Content[2]
	line, column := s.locate(secondKey)
	if mapping.Style&yaml.FlowStyle != 0 {
		s.lines[line] = s.lines[line][:column] + field + ", " + s.lines[line][column:]
		return
	}
	s.lines[line] = s.lines[line][:column] + field + "\n" + s.lines[line]
}

// addItem adds a mapping to a list and returns its index. It becomes the last item of a
// list in block style, and the last but one of a list in flow style.
func (s *textEditor) addItem(list *yaml.Node, fields []string) int {
	itemCount := len(list.Content)
	lastItem := list.Content[len(list.Content)-1]
	if list.Style&yaml.FlowStyle != 0 {
		line, column := s.locate(lastItem)
		s.lines[line] = s.lines[line][:column] + "{" + strings.Join(fields, ", ") + "}, " + s.lines[line][column:]
		return itemCount - 1
	}
	line := lastLine(lastItem) - 1
	if !strings.HasSuffix(s.lines[line], "\n") {
		s.lines[line] += "\n"
	}
	indent := strings.Repeat(" ", list.Column-1)
	s.lines[line] += indent + "- " + strings.Join(fields, "\n"+indent+"  ") + "\n"
	return itemCount
}

// locate returns a node's line, counted from 0, and its byte offset in the line.
func (s *textEditor) locate(node *yaml.Node) (line, column int) {
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

// verifiedText returns the edited text, or ErrEdit if it doesn't parse to the wanted
// document.
func (s *textEditor) verifiedText(wanted *Document) ([]byte, error) {
	text := []byte(strings.Join(s.lines, ""))
	document, err := Parse(text)
	if err != nil {
		return nil, ErrEdit.Wrap(err, "the text can't be edited in place")
	}
	if !reflect.DeepEqual(document, wanted) {
		return nil, ErrEdit.New("the text can't be edited in place")
	}
	return text, nil
}
