// Package cli implements the command lines of the wardturn, wardturn-agent and
// wardturn-entry programs. Each command is a type with its flags as fields. Main,
// AgentMain and EntryMain parse the arguments, run the program and return its exit code.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/willabides/kongplete"
)

// The exit codes of Main.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command ran and failed, or a check found a problem
	ExitUsage   = 2 // the command line or a setting is wrong; nothing was started
)

// Streams has the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// OSStreams returns the streams of the process.
func OSStreams() Streams {
	return Streams{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	}
}

// ErrUsage marks errors in the user's input, for which Main returns ExitUsage.
var ErrUsage = errors.New("usage")

// commands has the subcommands of the wardturn command.
type commands struct {
	Trace      traceCmd                     `cmd:"" help:"Generate a trace with a user's sizes."`
	Compare    compareCmd                   `cmd:"" help:"Compare policies on the same trace."`
	Policy     policyCmd                    `cmd:"" help:"Check policies."`
	Publish    publishCmd                   `cmd:"" help:"Publish documents: all or none."`
	Diff       diffCmd                      `cmd:"" help:"Compare files with what is in force."`
	Get        getCmd                       `cmd:"" help:"Print documents in force."`
	History    historyCmd                   `cmd:"" help:"Print who published what, when."`
	Status     statusCmd                    `cmd:"" help:"Print an entry's view of the system."`
	Drain      drainCmd                     `cmd:"" help:"Order an upstream to leave."`
	Report     reportCmd                    `cmd:"" help:"Reports."`
	Chaos      chaosCmd                     `cmd:"" help:"Run random histories of faults and check the promises."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the line that makes the shell complete this command."`
	Explain    explainCmd                   `cmd:"" help:"Print the story of a request from logs."`
	Losses     lossesCmd                    `cmd:"" help:"Sum up from the logs of gateways where service was lost."`
	Soak       soakCmd                      `cmd:"" help:"Hurt the real daemons as processes and check the promises."`
	Demo       demoCmd                      `cmd:"" help:"Run the whole system on embedded stand-ins and send it traffic."`
	Load       loadCmd                      `cmd:"" help:"Send a trace to running entry hosts."`
}

// Main runs the wardturn command and returns its exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	var root commands
	exit := -1
	parser, err := kong.New(&root,
		kong.Name("wardturn"),
		kong.Description("Operate wardturn: a serving layer for one base model with very many LoRA adapters."),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(s),
		kong.DefaultEnvars("WARDTURN"),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		fmt.Fprintln(s.Err, "wardturn:", err)
		return ExitFailure
	}
	kongplete.Complete(parser) // exits the process if the shell requests completions
	k, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(s.Err, "wardturn:", err)
		return ExitUsage
	}
	return exitCode(s, k.Run())
}

func exitCode(s Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(s.Err, "wardturn:", err)
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}
