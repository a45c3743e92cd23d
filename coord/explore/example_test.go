package explore_test

import (
	"fmt"

	"vanillalock.example/vanillalock/coord/explore"
)

// Every interleaving of two steps with the values of the specification.
func Example() {
	stats, violation := explore.Search(explore.DefaultOptions(), 2, 0)
	fmt.Println(stats.States > 500, violation == nil)
	// Output: true true
}
