// Command wardturn-agent runs one agent process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"wardturn/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.AgentMain(ctx, os.Args[1:], cli.OSStreams())
	stop()
	os.Exit(code)
}
