package platform

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrDocument means that a document can't be accepted; Mistakes lists why.
var ErrDocument = errs.NewType("document")

var mistakesProperty = errorx.RegisterProperty("mistakes")

// Mistake is one thing that is wrong with a document.
type Mistake struct {
	// Line counts from 1; 0 is the document as a whole.
	Line int
	// Path names the field, such as "workspaces[2].keys[0].verifier".
	Path string
	Text string
}

// String gives the mistake on one line.
func (m Mistake) String() string {
	if m.Path == "" {
		return fmt.Sprintf("line %d: %s", m.Line, m.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Path, m.Text)
}

// Mistakes lists what an ErrDocument found, by line; nil for any other error.
func Mistakes(err error) []Mistake {
	found, _ := errorx.ExtractProperty(err, mistakesProperty)
	list, _ := found.([]Mistake)
	return list
}

func documentError(list []Mistake) error {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Line < list[j].Line })
	lines := make([]string, len(list))
	for i, m := range list {
		lines[i] = m.String()
	}
	return ErrDocument.New("%s", strings.Join(lines, "\n")).WithProperty(mistakesProperty, list)
}
