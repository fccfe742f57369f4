package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// partsPath is the start of the paths of requests with a part that crashes engines.
	partsPath = "/resume/part"
	// sharedPart is the first part of these and of sound prompts.
	sharedPart = "5c1e07a2"
	// partPeriod is the time for which prompts have the same bad part, and then none: engines
	// that restarted are cold and serve few streams.
	partPeriod = 9 * time.Second
	// partInterval is the mean time between two requests with it, and soundInterval
	// between two pairs of sound ones.
	partInterval  = 200 * time.Millisecond
	soundInterval = 100 * time.Millisecond
	// partDowntime is how long an engine that crashes refuses connections.
	partDowntime = 500 * time.Millisecond
	// partCrashLimit is the number of crashes from which on a part must be refused, after
	// maxPartDelay and but for maxLateParts requests.
	partCrashLimit = 5
	maxPartDelay   = 3 * time.Second
	maxLateParts   = 3
)

// badParts are the parts of prompts that crash engines, one after the other.
var badParts = []string{"bad00", "bad01", "bad02", "bad03", "bad04", "bad05", "bad06", "bad07"}

// partCrashes are the crashes that bad parts caused, and the sound requests beside them.
type partCrashes struct {
	mu      sync.Mutex
	crashes map[string][]time.Time // by part
	sound   []soundPair
}

// soundPair is a pair of sound requests that were sent at the same moment through the same
// gateway, one with the shared first part and one with another.
type soundPair struct {
	part   string // the bad part that other prompts had then
	sentAt time.Time
	shared bool // the one with the shared part was served
	other  bool // the other one was
}

// handlePartCrash simulates the crash of an engine by a part of a prompt. Requests that reach
// the engine while it is down are of the same crash.
func (w *world) handlePartCrash(u *upstream, path string) {
	part, _, _ := strings.Cut(strings.TrimPrefix(path, partsPath+"/"), "/")
	w.crash(u, partDowntime, w.renew, func() {
		w.parts.mu.Lock()
		defer w.parts.mu.Unlock()
		w.parts.crashes[part] = append(w.parts.crashes[part], time.Now())
	})
}

// noCrashesSince reports whether no bad part has crashed an engine since t.
func (p *partCrashes) noCrashesSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, times := range p.crashes {
		if slices.ContainsFunc(times, t.Before) {
			return false
		}
	}
	return true
}

// startPartCaller starts a caller of requests with bad parts, no two alike, and of sound
// ones, until stop is closed.
func (s *soak) startPartCaller() {
	began := time.Now()
	client := &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{},
	}
	part := func() string {
		n := int(time.Since(began) / partPeriod)
		if n%2 == 1 {
			return ""
		}
		return badParts[n/2%len(badParts)]
	}
	repeat := func(stream uint64, interval time.Duration, send func(g *gatewayProcess, n int)) {
		s.wg.Go(func() {
			r := rand.New(rand.NewPCG(s.cfg.Seed, stream))
			for n := 0; s.sleep(time.Duration(r.ExpFloat64() * float64(interval))); n++ {
				g := randomElement(r, s.gateways)
				s.wg.Go(func() { send(g, n) })
			}
		})
	}
	repeat(3000, partInterval, func(g *gatewayProcess, n int) {
		p := part()
		if p == "" {
			return
		}
		s.sendStream(client, g, streamAttempt{
			id:      fmt.Sprintf("%s-%d", p, n),
			key:     permanentKey,
			adapter: "m0/a0",
			path:    fmt.Sprintf("%s/%s/%d", partsPath, p, n),
			prompt:  prompt(n, sharedPart, p),
		})
	})
	repeat(3001, soundInterval, func(g *gatewayProcess, n int) {
		s.sendSoundPair(client, g, part(), n)
	})
}

// prompt returns the parts of a prompt, of which the last is its own.
func prompt(n int, parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%s:200,", p)
	}
	fmt.Fprintf(&b, "%x:50", n+1<<32)
	return b.String()
}

func (s *soak) sendSoundPair(client *http.Client, g *gatewayProcess, part string, n int) {
	pair := soundPair{
		part:   part,
		sentAt: time.Now(),
	}
	send := func(name, first string) bool {
		body, status := s.sendStream(client, g, streamAttempt{
			id:      fmt.Sprintf("%s-%d", name, n),
			key:     permanentKey,
			adapter: "m0/a0",
			prompt:  prompt(n, first),
		})
		received, _ := receivedEvents(body)
		return status == http.StatusOK && received > 0
	}
	var wg sync.WaitGroup
	wg.Go(func() { pair.shared = send("sound", sharedPart) })
	wg.Go(func() { pair.other = send("other", "91bd3f06") })
	wg.Wait()
	s.world.parts.mu.Lock()
	defer s.world.parts.mu.Unlock()
	s.world.parts.sound = append(s.world.parts.sound, pair)
}

// checkParts checks that few requests with a part that has crashed partCrashLimit engines
// reach engines, and that sound ones with the same first part are served beside others.
func (s *soak) checkParts() {
	p := &s.world.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	var sound StreamPairs
	for _, part := range badParts {
		crashes := p.crashes[part]
		if len(crashes) < partCrashLimit {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		known := crashes[partCrashLimit-1].Add(maxPartDelay)
		late := s.partArrivals(part, known)
		fmt.Fprintf(s.cfg.Log, "soak: part %s: crashes=%d fifth=%s late=%d\n", part, len(crashes), crashes[partCrashLimit-1].Format(time.StampMilli), late)
		if late > maxLateParts {
			s.requests.addViolation("BUDGET: requests with the part %s, under which %d engines had crashed, were sent to engines %d times from %v on after that; %d crashed in all", part, partCrashLimit, late, maxPartDelay, len(crashes))
		}
		for _, pair := range p.sound {
			if pair.part == part && pair.sentAt.After(known) {
				sound.count(pair.shared, pair.other)
			}
		}
	}
	fmt.Fprintf(s.cfg.Log, "soak: sound requests beside bad parts: %+v\n", sound)
	if sound.isLost() {
		s.requests.addViolation("LOST: of %d sound requests with the first part of bad ones %d were served, and of as many others %d", sound.Pairs, sound.Resumed, sound.Begun)
	}
}

// partArrivals returns the number of requests with a bad part that reached engines after a
// time.
func (s *soak) partArrivals(part string, after time.Time) int {
	n := 0
	for _, u := range s.world.upstreams {
		for _, a := range u.worker.Arrivals() {
			if strings.HasPrefix(a.Attempt, part+"-") && a.At.After(after) {
				n++
			}
		}
	}
	return n
}
