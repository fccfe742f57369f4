package control_test

import (
	"fmt"

	"wardturn/control"
)

func ExampleCheckDoc() {
	err := control.CheckDoc("adapter/a1.yaml", "adapter/a1", []byte("base_model: base\nversion: 0\n"))
	fmt.Println(err)
	// Output: adapter/a1.yaml:2: version must be 1 or more
}

func ExampleAllowed() {
	patterns := []string{"fare-*", "tariff"}
	fmt.Println(control.Allowed(patterns, "fare-9"), control.Allowed(patterns, "tariffs"))
	// Output: true false
}
