// Command wardturn-fleet runs a gateway or a keeper on the users' platform. It also has
// the commands that operators of these daemons need.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"wardturn/cli/fleet"
)

func main() {
	signal.Ignore(syscall.SIGHUP) // until the daemon handles it by reloading its settings
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := fleet.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
