package decide

import (
	"time"

	"wardturn"
)

// ReadTurn decides when a process reads a record of the platform's store itself
// and when it relies on what another process has read. Processes that follow the
// same record tell each other of their readings; usually the one with the lowest
// id reads for all. Nothing is agreed for that: each process keeps its own bound
// on how old its knowledge is, and reads when the others' words stay out.
type ReadTurn struct {
	cfg       ReadTurnConfig
	self      wardturn.Incarnation
	start     time.Time // stamps count from here
	part      float64   // of the spread that is this process's, 0 to 1
	asOf      time.Time // what is known was true then, or later
	own       bool      // by a reading of this process
	sure      time.Time // as asOf, without words whose time on the way is not known
	doubtAt   time.Time // something contradicted it then
	leaderAt  time.Time // when a process with a lower id was last heard
	notBefore time.Time // no reading of its own before
	askedAt   time.Time // when the latest reading began that something asked for
	failing   bool      // the latest reading had no answer
	lags      leastLags
}

// ReadTurnConfig holds the times of a ReadTurn.
type ReadTurnConfig struct {
	// Every is how old knowledge may be before it is read again.
	Every time.Duration
	// Pause is the time between the readings of the process that reads for all.
	Pause time.Duration
	// Least is the time between two readings of one process.
	Least time.Duration
	// Gather is the least time between two readings that others' words ask for: changes
	// that follow each other closely are read together.
	Gather time.Duration
}

const (
	// turnSlack and turnSpread are how much later than Every a process reads that
	// relies on others, as parts of it: the slack lets the usual word arrive, the
	// spread keeps all from reading at once when it does not. When the process
	// with the lowest id is gone, the others step in within the slack.
	turnSlack  = 0.15
	turnSpread = 0.25
	// leaderLife is how long a process with a lower id counts after its last
	// word, in Every.
	leaderLife = 2
	// doubtSpread keeps processes from reading at the same moment when an event
	// makes all of them doubt: the first one's word serves the rest.
	doubtSpread = 100 * time.Millisecond
)

// NewReadTurn returns a turn that is due at once.
func NewReadTurn(now time.Time, self wardturn.Incarnation, cfg ReadTurnConfig) *ReadTurn {
	return &ReadTurn{
		cfg:   cfg,
		self:  self,
		start: now,
		part:  float64(hashString(string(self))) / (1 << 64),
		lags:  make(leastLags),
	}
}

// ReadCause is why a process reads a record itself.
type ReadCause string

// Causes of readings.
const (
	ReadFirst   ReadCause = "first"   // nothing was known
	ReadForAll  ReadCause = "for_all" // it reads for the others
	ReadStepIn  ReadCause = "step_in" // the words of the others stayed out
	ReadDoubted ReadCause = "doubted" // something contradicted what was known
	ReadAgain   ReadCause = "again"   // the reading before it failed
)

// ReadCauses lists all causes.
func ReadCauses() []ReadCause {
	return []ReadCause{ReadFirst, ReadForAll, ReadStepIn, ReadDoubted, ReadAgain}
}

// Cause returns why this process reads now.
func (t *ReadTurn) Cause(now time.Time) ReadCause {
	switch {
	case t.failing:
		return ReadAgain
	case t.asOf.IsZero():
		return ReadFirst
	case now.Before(t.usualAt(now)):
		return ReadDoubted
	case t.Reads(now):
		return ReadForAll
	}
	return ReadStepIn
}

// DueAt returns when this process has to read.
func (t *ReadTurn) DueAt(now time.Time) time.Time {
	due := t.usualAt(now)
	if t.doubtAt.After(t.asOf) {
		doubted := latest(t.doubtAt.Add(time.Duration(t.part*float64(doubtSpread))), t.askedAt.Add(t.cfg.Gather))
		if doubted.Before(due) {
			due = doubted
		}
	}
	if due.Before(t.notBefore) {
		return t.notBefore
	}
	return due
}

// usualAt returns when this process has to read by the age of what is known alone.
func (t *ReadTurn) usualAt(now time.Time) time.Time {
	due := t.asOf
	switch {
	case t.asOf.IsZero():
	case t.Reads(now) && t.own:
		due = due.Add(t.cfg.Pause)
	case t.Reads(now):
		late := time.Duration(turnSlack * t.part * float64(t.cfg.Every))
		due = due.Add(t.cfg.Pause + late)
	default:
		late := 1 + turnSlack + turnSpread*t.part
		due = due.Add(time.Duration(late * float64(t.cfg.Every)))
	}
	return due
}

// AsOf returns a time at which all that is known was true; zero before the first
// reading. A word that was long on its way would make an old version of an adapter serve
// as much longer, so only those count that can be compared with an earlier one.
func (t *ReadTurn) AsOf() time.Time {
	return t.sure
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Age returns how old the knowledge is; zero before the first reading.
func (t *ReadTurn) Age(now time.Time) time.Duration {
	if t.asOf.IsZero() {
		return 0
	}
	return max(0, now.Sub(t.asOf))
}

// Reads reports whether this process reads for the others: none with a lower id was
// heard lately.
func (t *ReadTurn) Reads(now time.Time) bool {
	return t.leaderAt.IsZero() || now.Sub(t.leaderAt) > leaderLife*t.cfg.Every
}

// Began records that a reading of this process begins.
func (t *ReadTurn) Began(now time.Time) {
	if t.Cause(now) == ReadDoubted {
		t.askedAt = now
	}
	t.notBefore = now.Add(t.cfg.Least)
}

// Failed records that a reading of this process had no answer. It reads again after the
// least time between two, unless another tells of a later reading. Pauses that double serve
// callers no better, and save few calls.
func (t *ReadTurn) Failed(now time.Time) {
	t.failing = true
	t.notBefore = now.Add(t.cfg.Least)
	t.Doubt(now)
}

// Read records a reading of this process: all that was true at a time is known.
// It returns the stamp for the word to the others.
func (t *ReadTurn) Read(asOf time.Time) time.Duration {
	t.failing = false
	t.renew(asOf, true)
	t.sure = latest(t.sure, asOf)
	return asOf.Sub(t.start)
}

// Doubt records that something contradicts what is known.
func (t *ReadTurn) Doubt(now time.Time) {
	t.doubtAt = now
}

// Heard records the word of another process that it had read the record. The
// stamp is that process's own time of its reading. The least difference to the
// time of arrival tells how its clock differs; a word that was held up on the way
// is thereby known to be old. A first word has none before it to be measured by, so it
// does not count for AsOf. It returns the time of the reading, or zero for such a word.
func (t *ReadTurn) Heard(now time.Time, from wardturn.Incarnation, stamp time.Duration) (asOf time.Time) {
	least, known := t.lags.note(from, now.Sub(t.start)-stamp)
	t.renew(t.start.Add(stamp+least), false)
	if known {
		asOf = t.start.Add(stamp + least)
		t.sure = latest(t.sure, asOf)
	}
	t.Present(now, from)
	return asOf
}

// Present records that another process is there, without what it has read.
func (t *ReadTurn) Present(now time.Time, from wardturn.Incarnation) {
	if from < t.self {
		t.leaderAt = now
	}
}

func (t *ReadTurn) renew(asOf time.Time, own bool) {
	if asOf.After(t.asOf) {
		t.asOf = asOf
		t.own = own
	}
}
