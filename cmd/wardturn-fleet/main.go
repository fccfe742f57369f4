// Command wardturn-fleet runs one daemon of wardturn on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"wardturn/cli/fleet"
)

func main() {
	signal.Ignore(syscall.SIGHUP) // until the daemon reads its settings again on it
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := fleet.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
