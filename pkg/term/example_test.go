package term_test

import (
	"fmt"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

func Example() {
	rule := term.AcknowledgementRule{Term: 3, Primary: "r1a", GroupSize: 3}
	confirmed, ok := rule.ConfirmedPosition([]term.Status{
		{Server: "r1a", Received: position.Position{Term: 3, Offset: 1742}},
		{Server: "r1b", Received: position.Position{Term: 3, Offset: 1740}},
	})
	fmt.Println(confirmed, ok)
	// Output: 3/1740 true
}
