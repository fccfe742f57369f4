package wardturn_test

import (
	"fmt"

	"wardturn"
)

func ExampleRegions_Both() {
	route := wardturn.Regions{"north", "south"}
	team := wardturn.Regions{"south", "east"}
	both := route.Both(team)
	fmt.Println(both, both.Allow("south"), both.Allow("north"))
	fmt.Println(route.Both(nil), wardturn.Regions(nil).Allow("anywhere"))
	none := route.Both(wardturn.Regions{"east"})
	fmt.Println(none, none.Allow("north"), none.Allow(""))
	// Output:
	// [south] true false
	// [north south] true
	// [] false false
}
