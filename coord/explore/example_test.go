package explore_test

import (
	"fmt"

	"vanillalock.example/vanillalock/coord/explore"
)

// Example searches every interleaving of two steps with the default options.
func Example() {
	stats, violation := explore.Search(explore.DefaultOptions(), 2, 0)
	fmt.Println(stats.States > 500, violation == nil)
	// Output: true true
}
