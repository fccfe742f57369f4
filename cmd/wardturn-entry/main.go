// Command wardturn-entry runs one entry process.
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
	code := cli.EntryMain(ctx, os.Args[1:], cli.OSStreams())
	stop()
	os.Exit(code)
}
