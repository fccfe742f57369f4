package decide

import (
	"time"

	"wardturn"
)

const (
	// plainOverfill is how many requests a plain upstream is given at once, in
	// its slots: a few may queue there.
	plainOverfill = 2.0
	// engineOverfill is the same for engines: more run slower, and beyond the
	// batch they queue.
	engineOverfill = 1.0
