package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"wardturn/policy"
)

// policyCmd groups the commands about policies.
type policyCmd struct {
	Check policyCheckCmd `cmd:"" help:"Check a policy and evaluate it on sample inputs."`
}

// policyCheckCmd checks one file.
type policyCheckCmd struct {
	File string `arg:"" help:"Starlark file."`
}

// Run checks the file and prints the values that its functions return for sample inputs.
func (c *policyCheckCmd) Run(s Streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	rows, err := policy.CheckProgram(c.File, string(text))
	for _, row := range rows {
		fmt.Fprintf(s.Out, "%-5s  %-42s  %g\n", row.Function, row.Input, row.Value)
	}
	return err
}
