package wardturn_test

import (
	"fmt"
	"time"

	"wardturn"
)

func ExampleParseAdapterRef() {
	ref, err := wardturn.ParseAdapterRef("fare-explainer@4")
	fmt.Println(ref.Adapter, ref.Version, err)
	ref, err = wardturn.ParseAdapterRef("fare-explainer")
	fmt.Println(ref, ref.Version, err)
	// Output:
	// fare-explainer 4 <nil>
	// fare-explainer 0 <nil>
}

func ExampleRefused() {
	o := wardturn.Refused(wardturn.ReasonQuota, 2*time.Second)
	fmt.Println(o.Kind, o.Reason, o.RetryAfter)
	// Output: not_run quota 2s
}
