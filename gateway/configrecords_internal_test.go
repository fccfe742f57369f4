package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/process"
	"wardturn/standin"
)

// fakeConfigSource is a ConfigSource that applies announced records without content.
type fakeConfigSource struct {
	position   wardturn.Position
	applied    int
	unreadable bool // announced records cannot be decoded
}

func (s *fakeConfigSource) Poll(wardturn.Position, time.Duration) (func() wardturn.ConfigChange, error) {
	return nil, wardturn.ErrUnavailable
}

func (s *fakeConfigSource) Apply(r wardturn.ConfigRecords) (wardturn.ConfigChange, bool) {
	if s.unreadable || decide.UseOfRecords(s.position, r) == decide.RecordsGap {
		return wardturn.ConfigChange{}, false
	}
	if r.To > s.position {
		s.applied++
	}
	s.position = max(s.position, r.To)
	return wardturn.ConfigChange{
		To: s.position,
	}, true
}

// configRig is a gateway that has read the configuration up to position 10 and relies on the
// reads of the gateway "a".
type configRig struct {
	t      *testing.T
	g      *Gateway
	source *fakeConfigSource
	clock  *standin.Clock
	scope  tally.TestScope
	readAt time.Time // of the latest announced read
}

// announcementDelay is the usual time between a read and its announcement.
const announcementDelay = 10 * time.Millisecond

func newConfigRig(t *testing.T) *configRig {
	x := &configRig{
		t:     t,
		clock: standin.NewClock(),
		scope: tally.NewTestScope("", nil),
		source: &fakeConfigSource{
			position: 10,
		},
	}
	x.g = &Gateway{
		clock: x.clock,
		cfg: Config{
			Process: "g",
			Drain:   time.Second,
		},
		logger:       hclog.NewNullLogger(),
		metrics:      NewMetrics(x.scope),
		configSource: x.source,
	}
	x.g.reads = newReadCoordinator(x.g)
	x.g.links = newLinks(x.g)
	x.g.crashes = newCrashes(x.g, nil)
	x.g.reads.finishConfigRead(x.clock.Now(), wardturn.ConfigChange{
		To: 10,
		Read: wardturn.ConfigRecords{
			From: -1,
			To:   10,
		},
	})
	for range 2 { // the delay is known after the first one
		x.clock.Advance(time.Second)
		x.read(10, announcementDelay)
	}
	x.expectAsOf(x.readAt)
	return x
}

// read delivers the announcement of a read up to a position, delay after the read.
func (x *configRig) read(to wardturn.Position, delay time.Duration) {
	x.readAt = x.clock.Now().Add(-delay)
	x.g.reads.receive(&peer.ReadAnnouncement{
		Reader: "a",
		ReadAt: x.readAt.Sub(standin.Epoch),
		Config: to,
	})
}

// records delivers announced records.
func (x *configRig) records(from, to wardturn.Position) {
	x.g.reads.receiveConfig(&peer.ConfigAnnouncement{
		Reader:  "a",
		From:    from,
		To:      to,
		Records: []byte("records"),
	})
}

// drain applies what is queued.
func (x *configRig) drain() {
	for len(x.g.reads.records.queue) > 0 {
		x.g.applyAnnouncedConfig(<-x.g.reads.records.queue)
	}
}

// expectAsOf expects that the configuration counts as current as of a time, less the delay
// that is part of every announcement and cannot be measured.
func (x *configRig) expectAsOf(want time.Time) {
	x.t.Helper()
	if got := x.g.reads.configCurrentAt(); got.After(want.Add(announcementDelay)) || got.Before(want) {
		x.t.Errorf("the configuration is current as of %v, want %v", got.Sub(standin.Epoch), want.Sub(standin.Epoch))
	}
}

// expect expects the position and the numbers of announcements that were applied and were not.
func (x *configRig) expect(position wardturn.Position, applied, notApplied int64) {
	x.t.Helper()
	if got := x.g.reads.currentConfigPosition(); got != position || x.source.position != position {
		x.t.Errorf("position %v, at the source %v, want %v", got, x.source.position, position)
	}
	for result, want := range map[string]int64{"applied": applied, "not_applied": notApplied} {
		if got := x.scope.Snapshot().Counters()["config_announcements+result="+result].Value(); got != want {
			x.t.Errorf("%d announcements %s, want %d", got, result, want)
		}
	}
}

// expectDue expects that a read of the store is, or is not, due soon.
func (x *configRig) expectDue(want bool) {
	x.t.Helper()
	now := x.clock.Now()
	if got := x.g.reads.config.DueAt(now).Sub(now) < configMinInterval; got != want {
		x.t.Errorf("a read of the store is due soon: %v, want %v", got, want)
	}
}

// A key that is revoked by records in the queue is still accepted: the configuration must not
// count as current before they are applied, nor as newer than the announced read after that.
func TestReadsConfirmTheConfigurationOnceTheirRecordsAreApplied(t *testing.T) {
	x := newConfigRig(t)
	before := x.readAt
	x.clock.Advance(time.Second)
	x.records(10, 12)
	x.read(12, announcementDelay)
	x.expectAsOf(before)
	x.clock.Advance(300 * time.Millisecond)
	x.drain()
	x.expect(12, 1, 0)
	x.expectAsOf(x.readAt)
	x.expectDue(false)
}

// A keeper on a host that froze delivers old announcements. Taken for new ones, a key that was
// revoked in the meantime would be accepted for longer by the delay.
func TestDelayedRecordsAndReadsCountAsOld(t *testing.T) {
	x := newConfigRig(t)
	x.clock.Advance(4 * time.Second)
	x.records(10, 12)
	x.read(12, 3*time.Second)
	x.drain()
	x.expect(12, 1, 0)
	x.expectAsOf(x.readAt)
}

// Each announcement comes through two keepers, and repeats records.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	x := newConfigRig(t)
	before := x.readAt
	x.clock.Advance(time.Second)
	x.read(12, announcementDelay) // the records before it are late
	x.expectDue(true)
	x.clock.Advance(100 * time.Millisecond)
	x.records(10, 11)
	x.records(10, 11)
	x.drain()
	x.expect(11, 1, 0)
	x.expectAsOf(before)
	x.records(9, 12)
	x.drain()
	x.expect(12, 2, 0)
	x.expectAsOf(x.readAt)
	x.records(10, 12)
	x.records(3, 8)
	x.records(10, 11)
	x.drain()
	x.expect(12, 2, 0)
	x.clock.Advance(10 * time.Millisecond)
	x.read(12, announcementDelay)
	x.expectAsOf(x.readAt)
	x.expectDue(false)
}

func TestRecordsAfterAGapAreNotApplied(t *testing.T) {
	for name, from := range map[string]wardturn.Position{
		"missing records":  11,
		"a restored store": wardturn.NewPosition(1, 5),
	} {
		t.Run(name, func(t *testing.T) {
			x := newConfigRig(t)
			before := x.readAt
			x.clock.Advance(time.Second)
			x.records(from, from+1)
			x.read(from+1, announcementDelay)
			x.drain()
			x.expect(10, 0, 1)
			x.expectAsOf(before)
			x.expectDue(true)
			x.records(10, 12) // a repeat closes the gap
			x.drain()
			x.expect(12, 1, 1)
		})
	}
}

// Regression test: the position that unreadable records would have led to counted as queued,
// so that later records up to there were taken for known ones.
func TestUnreadableRecordsAreNotApplied(t *testing.T) {
	x := newConfigRig(t)
	before := x.readAt
	x.clock.Advance(time.Second)
	x.source.unreadable = true
	x.records(10, 14)
	x.records(14, 15)
	x.read(14, announcementDelay)
	x.g.applyAnnouncedConfig(<-x.g.reads.records.queue)
	x.expect(10, 0, 1)
	x.source.unreadable = false
	x.records(10, 12)
	x.drain()
	x.expect(12, 1, 2)
	x.expectAsOf(before)
	x.expectDue(true)
}

// A garbled era makes a gateway read at a position that is too high. When it has read at the
// right one, announced records follow that.
func TestRecordsFollowAReadAtALowerPosition(t *testing.T) {
	x := newConfigRig(t)
	x.records(10, 12)
	x.drain()
	x.source.position = 5
	x.g.reads.finishConfigRead(x.clock.Now(), wardturn.ConfigChange{
		To: 5,
		Read: wardturn.ConfigRecords{
			From: -1,
			To:   5,
		},
	})
	x.records(5, 6)
	x.drain()
	x.expect(6, 2, 0)
}

// Announcements must not block the connection on which they arrive.
func TestAFullQueueOfRecordsMakesTheGatewayRead(t *testing.T) {
	x := newConfigRig(t)
	x.clock.Advance(time.Second)
	for i := range wardturn.Position(maxQueuedRecords + 3) {
		x.records(10+i, 11+i)
	}
	x.expectDue(true)
	x.drain()
	x.expect(10+maxQueuedRecords, maxQueuedRecords, 3)
	x.records(10, 60)
	x.drain()
	x.expect(60, maxQueuedRecords+1, 3)
}

// A gateway of an older build announces reads without records.
func TestReadsWithoutRecordsMakeTheGatewayRead(t *testing.T) {
	x := newConfigRig(t)
	before := x.readAt
	x.clock.Advance(time.Second)
	x.read(12, announcementDelay)
	x.drain()
	x.expect(10, 0, 0)
	x.expectAsOf(before)
	x.expectDue(true)
}

// messages receives the messages of a keeper's connections.
type messages chan peer.Message

func (m messages) Handle(_ *peer.Conn, msg peer.Message) { m <- msg }
func (messages) Closed(*peer.Conn, error)                {}

// connectKeeper connects the gateway to a keeper in a failure domain and returns what it
// receives.
func (x *configRig) connectKeeper(domain wardturn.FailureDomain, host string) messages {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	received := make(messages, 100)
	conns := make(connected, 1)
	id := conns.identity("k")
	id.Host = host
	server := peer.NewServer(ln, nil, process.Clock{}, id, peer.Limits{}, received)
	x.t.Cleanup(server.Close)
	client := peer.NewClient(ln.Addr().String(), nil, process.Clock{}, conns.identity("g"), conns)
	x.t.Cleanup(client.Close)
	select {
	case conn := <-conns:
		x.g.links.byAddr[client.Addr()] = &link{
			links:  x.g.links,
			client: client,
			conn:   conn,
			member: wardturn.Member{
				Domain: domain,
			},
		}
	case <-time.After(5 * time.Second):
		x.t.Fatal("not connected")
	}
	return received
}

// finishRead finishes a read of the store.
func (x *configRig) finishRead(from, to wardturn.Position) {
	x.g.reads.finishConfigRead(x.clock.Now(), wardturn.ConfigChange{
		To: to,
		Read: wardturn.ConfigRecords{
			From: from,
			To:   to,
			Data: []byte("records"),
		},
	})
}

// expectRecords expects announced records as the next message.
func (m messages) expectRecords(t *testing.T, from, to wardturn.Position) {
	t.Helper()
	got := <-m
	if r, ok := got.(*peer.ConfigAnnouncement); !ok || r.From != from || r.To != to || r.Reader != "g" {
		t.Errorf("announced %+v, want records from %v to %v", got, from, to)
	}
}

// expectRead expects an announced read as the next message.
func (m messages) expectRead(t *testing.T, to wardturn.Position) {
	t.Helper()
	got := <-m
	if r, ok := got.(*peer.ReadAnnouncement); !ok || r.Config != to {
		t.Errorf("announced %+v, want a read up to %v", got, to)
	}
}

// While hundreds of gateways read a change that was announced without records, each of them
// would otherwise announce these records.
func TestRecordsAreAnnouncedByOneReader(t *testing.T) {
	x := newConfigRig(t)
	keeper := x.connectKeeper("d0", "k")
	older := x.connectKeeper("d1", "k without-features")
	x.read(11, announcementDelay) // of a gateway of an older build, without records
	x.finishRead(10, 11)
	keeper.expectRead(t, 11)
	x.clock.Advance(200 * time.Millisecond)
	keeper.expectRecords(t, 10, 11)

	x.finishRead(11, 12)
	keeper.expectRead(t, 12)
	x.records(11, 12) // of another gateway
	x.clock.Advance(200 * time.Millisecond)

	x.records(12, 13)
	x.drain()
	x.finishRead(13, 14)
	keeper.expectRead(t, 14)
	x.clock.Advance(200 * time.Millisecond)
	keeper.expectRecords(t, 13, 14)

	x.clock.Advance(10 * configWait) // the other gateway is gone: this one reads for all
	x.finishRead(14, 15)
	keeper.expectRecords(t, 14, 15)
	keeper.expectRead(t, 15)
	x.clock.Advance(time.Second)
	x.finishRead(15, 15)
	keeper.expectRecords(t, 14, 15)
	keeper.expectRead(t, 15)
	for _, to := range []wardturn.Position{11, 12, 14, 15, 15} {
		older.expectRead(t, to)
	}
}

// signalingClock signals calls of Now.
type signalingClock struct {
	wardturn.Clock
	called chan struct{}
}

func (c *signalingClock) Now() time.Time {
	now := c.Clock.Now()
	select {
	case c.called <- struct{}{}:
	default:
	}
	return now
}

// A poll that the store answered early, without a change, waits while announced records are
// applied. Counted as current as of the end of its wait, a key that was revoked after the answer
// would be accepted for too long.
func TestReadsThatWaitForRecordsAreNotNewer(t *testing.T) {
	x := newConfigRig(t)
	x.clock.Advance(time.Second)
	clock := &signalingClock{
		Clock:  x.clock,
		called: make(chan struct{}, 1),
	}
	x.g.clock = clock
	sent := x.clock.Now()
	x.g.configMu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.g.applyRead(func() wardturn.ConfigChange {
			return wardturn.ConfigChange{
				To: 10,
				Read: wardturn.ConfigRecords{
					From: 10,
					To:   10,
				},
			}
		}, sent, configWait)
	}()
	select {
	case <-clock.called:
	case <-time.After(2 * time.Second):
	}
	x.clock.Advance(2 * configWait)
	x.g.configMu.Unlock()
	<-done
	x.expectAsOf(sent)
}
