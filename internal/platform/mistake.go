package platform

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrDocument means that a document is invalid or doesn't match the hash known for its
// version. Mistakes returns the errors that Parse found in it.
var ErrDocument = errs.NewType("document")

var mistakesProperty = errorx.RegisterProperty("mistakes")

// Mistake is one error in a document.
type Mistake struct {
	// Line is the line of the mistake, from 1; 0 refers to the whole document.
	Line int
	// Path is the path of the field, such as "workspaces[2].keys[0].verifier".
	Path string
	Text string
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	if m.Path == "" {
		return fmt.Sprintf("line %d: %s", m.Line, m.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Path, m.Text)
}

// Mistakes returns the mistakes that Parse found, sorted by line. It returns nil for any
// other error, including an ErrDocument for a hash mismatch.
func Mistakes(err error) []Mistake {
	property, _ := errorx.ExtractProperty(err, mistakesProperty)
	list, _ := property.([]Mistake)
	return list
}

// documentError returns an ErrDocument with the given mistakes.
func documentError(list []Mistake) error {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Line < list[j].Line })
	messages := make([]string, len(list))
	for i, m := range list {
		messages[i] = m.String()
	}
	return ErrDocument.New("%s", strings.Join(messages, "\n")).WithProperty(mistakesProperty, list)
}
