package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// plainIdleInterval and plainPressureInterval are the intervals of reports without and
	// with pressure.
	plainIdleInterval     = time.Second
	plainPressureInterval = 200 * time.Millisecond
	// plainGatewayInterval times the number of gateways is the shortest interval.
	plainGatewayInterval = 5 * time.Millisecond
	// plainCheckTolerance is the jitter of the checks whether a report is due.
	plainCheckTolerance = 10 * time.Millisecond
	// plainReportBytes bounds the bytes per second of all reports at a gateway.
	plainReportBytes = 16_000
	// plainReportDelay is the time that a report takes through a keeper, which collects
	// reports for 50 ms.
	plainReportDelay = 110 * time.Millisecond
	// silentIntervals is the number of intervals after which a gateway without a report
	// counts as silent.
	silentIntervals = 3
	// partitionPart is the part of the gateways that must be silent at once for a partition.
	// A smaller part has ended.
	partitionPart = 0.25
	// partitionFade is the time over which the load of gateways behind a partition fades to
	// the mean of the others.
	partitionFade = 5 * time.Second
	// maxRefusedDigests bounds the digests in one report.
	maxRefusedDigests = 40
	// refusedRepeats is the number of reports that carry a digest, in case one is lost.
	refusedRepeats = 2
	// returnRetention is how long a refused content is remembered. Callers come back within
	// maxLoadRetryDelay.
	returnRetention = 4 * time.Second
	// plainSweepInterval is the interval at which the sums over all gateways are recomputed.
	plainSweepInterval = 250 * time.Millisecond
)

// plainPeer is another gateway as known from its reports.
type plainPeer struct {
	seq        uint64
	receivedAt time.Time
	interval   time.Duration
	weight     float64 // with which its load counts
	toMean     float64 // part of its load that is replaced by the mean of those heard
	services   []PlainServiceLoad
}

// Report returns the report to send to the other gateways, if one is due.
func (p *PlainLoads) Report(now time.Time) (report PlainLoadReport, due bool) {
	p.updateInterval(now)
	// An interval that grows is announced at the time promised before.
	if now.Sub(p.reportedAt) < min(p.interval, p.promised)-plainCheckTolerance {
		return PlainLoadReport{}, false
	}
	// Also without a report the schedule goes on. A gateway that reported right after its first
	// request would tell the rate of the moment of a request, which is too high.
	p.reportedAt = now
	p.promised = p.interval
	for _, s := range p.services {
		if load, ok := s.report(now, p.interval, p.demandMemory()); ok {
			report.Services = append(report.Services, load)
		}
	}
	if len(report.Services) > 0 {
		p.idleSent = 0
	} else if p.idleSent++; p.idleSent > silentIntervals || p.seq == 0 {
		return PlainLoadReport{}, false
	}
	p.seq++
	report.Process = p.self
	report.Seq = p.seq
	report.IntervalMS = uint32(p.interval.Milliseconds())
	p.reportSize = report.size()
	return report, true
}

// size estimates the size of the encoded report in bytes.
func (r PlainLoadReport) size() int {
	n := 10 + len(r.Process)
	for _, s := range r.Services {
		n += 6 + len(s.Service) + 8*len(s.Demand) + 20*len(s.Upstreams) + 5*len(s.Refused)
	}
	return n
}

// demandMemory returns the time constant of the offered rates.
func (p *PlainLoads) demandMemory() time.Duration {
	return max(minDemandMemory, p.interval)
}

// updateInterval sets the interval of reports: shorter under pressure, and long enough that
// the reports of all gateways stay within plainReportBytes.
func (p *PlainLoads) updateInterval(now time.Time) {
	p.interval = plainIdleInterval
	for _, s := range p.services {
		if s.underPressure(now) {
			p.interval = plainPressureInterval
		}
	}
	gateways := max(p.gateways, p.reporting+1)
	bySize := time.Duration(float64(gateways*p.reportSize) / plainReportBytes * float64(time.Second))
	p.interval = max(p.interval, time.Duration(gateways)*plainGatewayInterval, bySize)
}

// report returns the load of a service at this gateway, and whether there is any.
func (s *plainService) report(now time.Time, interval, memory time.Duration) (load PlainServiceLoad, ok bool) {
	load.Service = s.name
	for c := range s.offered {
		if r := s.offered[c].rate(now, memory); r > minPlainRate {
			load.Demand = append(load.Demand, PlainDemand{
				Class: PlainClass(c),
				Rate:  float32(r),
			})
		}
	}
	inFlight := 0
	for _, u := range s.upstreams {
		inFlight += u.inFlight
		if u.responses == 0 && u.inFlight == 0 && u.rejections == 0 {
			continue
		}
		load.Upstreams = append(load.Upstreams, PlainUpstreamLoad{
			Upstream:       u.digest,
			InFlight:       u.inFlight,
			Responses:      u.responses,
			ResponseTimeMS: uint32(u.responseTime.Milliseconds()),
			Rejections:     u.rejections,
		})
	}
	kept := s.refused[:0]
	for _, r := range s.refused {
		if now.Sub(r.at) < refusedRepeats*interval {
			kept = append(kept, r)
		}
	}
	s.refused = kept
	for _, r := range kept[max(0, len(kept)-maxRefusedDigests):] {
		load.Refused = append(load.Refused, r.content)
	}
	return load, inFlight > 0 || len(load.Demand) > 0
}

// minPlainRate is the rate in requests per second below which a class counts as unused.
const minPlainRate = 0.02

// Receive processes a report of another gateway.
func (p *PlainLoads) Receive(now time.Time, r PlainLoadReport) {
	if r.Process == p.self || p.disabled {
		return
	}
	o := p.others[r.Process]
	if o == nil {
		o = &plainPeer{}
		p.others[r.Process] = o
		p.sweptAt = time.Time{}
	}
	if r.Seq <= o.seq {
		return
	}
	first := o.seq == 0
	o.seq = r.Seq
	o.receivedAt = now
	o.interval = time.Duration(r.IntervalMS) * time.Millisecond
	if o.weight != 1 || o.toMean != 0 {
		p.sweptAt = time.Time{}
	}
	p.addLoads(o.services, -o.weight*(1-o.toMean))
	before := o.services
	o.services = r.Services
	o.weight = 1
	o.toMean = 0
	p.addLoads(o.services, 1)
	for _, load := range r.Services {
		s := p.services[load.Service]
		if s == nil {
			continue
		}
		s.receiveRefused(now, load.Refused)
		if !first {
			s.receiveProgress(now, load, before)
		}
	}
}

func (s *plainService) receiveRefused(now time.Time, refused []uint32) {
	for _, content := range refused {
		s.noteRefused(now, content)
	}
}

// noteRefused records a refused content. Reports repeat it, and its caller may be refused
// again; neither changes a known entry.
func (s *plainService) noteRefused(now time.Time, content uint32) {
	if _, known := s.returning[content]; known {
		return
	}
	s.returning[content] = plainReturn{
		at: now,
	}
}

// receiveProgress counts the responses and rejections since an earlier report of the same
// gateway. If that report left out the service, because there was no demand, it is not known
// which of the totals are new, and none of them count.
func (s *plainService) receiveProgress(now time.Time, load PlainServiceLoad, before []PlainServiceLoad) {
	for _, l := range load.Upstreams {
		u := s.upstream(l.Upstream)
		if u == nil {
			continue
		}
		earlier, known := upstreamLoadIn(before, load.Service, l.Upstream)
		if !known {
			continue
		}
		if l.Responses > earlier.Responses {
			u.responded(now, float64(l.Responses-earlier.Responses), time.Duration(l.ResponseTimeMS-earlier.ResponseTimeMS)*time.Millisecond)
		}
		if l.Rejections > earlier.Rejections {
			s.rejected(now, u)
		}
	}
}

// upstreamLoadIn returns the load of an upstream in a report, and whether the report tells
// it. An upstream that is missing in a reported service has had no requests.
func upstreamLoadIn(list []PlainServiceLoad, name wardturn.ServiceName, digest uint32) (load PlainUpstreamLoad, known bool) {
	for _, s := range list {
		if s.Service != name {
			continue
		}
		for _, l := range s.Upstreams {
			if l.Upstream == digest {
				return l, true
			}
		}
		return PlainUpstreamLoad{}, true
	}
	return PlainUpstreamLoad{}, false
}

// addLoads adds the load of another gateway, times a weight, to the sums.
func (p *PlainLoads) addLoads(list []PlainServiceLoad, weight float64) {
	for _, load := range list {
		if s := p.services[load.Service]; s != nil {
			s.addLoad(load, weight)
		}
	}
}

func (s *plainService) addLoad(load PlainServiceLoad, weight float64) {
	if weight == 0 {
		return
	}
	for _, d := range load.Demand {
		if d.Class < plainClasses {
			s.others[d.Class] = max(0, s.others[d.Class]+weight*float64(d.Rate))
		}
	}
	for _, l := range load.Upstreams {
		if u := s.upstream(l.Upstream); u != nil {
			u.othersInFlight = max(0, u.othersInFlight+weight*float64(l.InFlight))
		}
	}
}

// sweep updates which gateways count, and recomputes the sums over them.
func (p *PlainLoads) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < plainSweepInterval {
		return
	}
	p.sweptAt = now
	silent, idle := 0, 0
	for _, o := range p.others {
		if o.silent(now) {
			silent++
		}
		if len(o.services) == 0 {
			idle++
		}
	}
	p.reporting = len(p.others) - silent
	// Where as many are heard as there have been lately, the silent ones were restarted.
	restarted := p.most.highest > 0 && p.reporting+1 >= p.most.highest
	partition := !restarted && silent > 1 && float64(silent) > partitionPart*float64(len(p.others)-idle)
	for id, o := range p.others {
		o.fade(now, partition)
		if now.Sub(o.receivedAt) > gatewayCountRetention {
			delete(p.others, id)
		}
	}
	for _, s := range p.services {
		p.sumOthers(s)
		s.forgetReturned(now)
	}
}

// silent reports whether reports of the gateway are missing. One that reported no load sends
// none until it has some.
func (o *plainPeer) silent(now time.Time) bool {
	return len(o.services) > 0 && now.Sub(o.receivedAt) > silentIntervals*o.interval+plainReportDelay
}

// fade sets how much the latest report of a gateway counts. That of a single gateway fades
// until it counts as silent: it has ended, and its callers use the others. Behind a partition
// gateways go on; what they do then is less and less known.
func (o *plainPeer) fade(now time.Time, partition bool) {
	age := now.Sub(o.receivedAt)
	o.weight = 1
	o.toMean = 0
	if !o.silent(now) {
		return
	}
	if !partition {
		o.weight = 0
		return
	}
	o.toMean = min(1, age.Seconds()/partitionFade.Seconds())
}

// sumOthers recomputes the sums of a service over the other gateways. To a new gateway, those
// that keepers count and that it has not heard yet count with the mean. Later, a gateway that
// was never heard has no load.
func (p *PlainLoads) sumOthers(s *plainService) {
	clear(s.others[:])
	for _, u := range s.upstreams {
		u.othersInFlight = 0
	}
	meanWeight, known := 0.0, 0.0
	for _, o := range p.others {
		w := o.weight * (1 - o.toMean)
		meanWeight += o.weight * o.toMean
		known += w
		for _, load := range o.services {
			if load.Service == s.name {
				s.addLoad(load, w)
			}
		}
	}
	if p.disabled || known == 0 {
		return
	}
	if p.sweptAt.Sub(p.start) < silentIntervals*max(p.interval, plainIdleInterval) {
		meanWeight += max(0, float64(p.gateways-1)-math.Ceil(known+meanWeight))
	}
	scale := 1 + meanWeight/known
	for c := range s.others {
		s.others[c] *= scale
	}
	for _, u := range s.upstreams {
		u.othersInFlight *= scale
	}
}

// forgetReturned forgets refused contents whose callers have come back or never will.
func (s *plainService) forgetReturned(now time.Time) {
	for content, ret := range s.returning {
		if now.Sub(ret.at) > returnRetention {
			delete(s.returning, content)
		}
	}
}
