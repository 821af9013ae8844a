package position_test

import (
	"fmt"

	"github.com/savoryramp/savoryramp/pkg/position"
)

func Example() {
	floor, _ := position.Parse("3/1742")
	replica := position.Position{Term: 3, Offset: 1740}
	fmt.Println(replica.Covers(floor))
	// Output: false
}
