package control_test

import (
	"fmt"

	"wardturn/control"
)

func ExampleValidateDoc() {
	err := control.ValidateDoc("adapter/a1.yaml", "adapter/a1", []byte("base_model: base\nversion: 0\n"))
	fmt.Println(err)
	// Output: adapter/a1.yaml:2: version must be 1 or more
}

func ExampleMatchesPattern() {
	patterns := []string{"fare-*", "tariff"}
	fmt.Println(control.MatchesPattern(patterns, "fare-9"), control.MatchesPattern(patterns, "tariffs"))
	// Output: true false
}
