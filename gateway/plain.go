package gateway

import (
	"time"

	"wardturn/decide"
	"wardturn/peer"
)

// plainInterval is the interval at which it is checked whether a report on plain services is
// due.
const plainInterval = 50 * time.Millisecond

// plain exchanges the load of plain services with the other gateways through keepers.
type plain struct {
	g     *Gateway
	loads *decide.PlainLoads // guarded by the gateway's lock
	sent  int                // reports sent; used by a single goroutine
}

func newPlain(g *Gateway) *plain {
	return &plain{
		g:     g,
		loads: decide.NewPlainLoads(g.clock.Now(), g.cfg.Process),
	}
}

// announce sends the load at this gateway to the others if a report is due. Reports go to
// two keepers in each failure domain alternately. Totals are cumulative, so the next report
// makes up for a lost one.
func (p *plain) announce() {
	p.g.mu.Lock()
	report, due := p.loads.Report(p.g.clock.Now())
	gateways := p.g.fleet.ReportedGateways()
	p.g.mu.Unlock()
	if !due {
		return
	}
	p.sent++
	m := &peer.PlainLoadReports{
		Reports: []decide.PlainLoadReport{report},
	}
	for _, conn := range p.g.links.alternatingConns(p.g.caps.relayKey(gateways), p.sent) {
		if conn.Understands(peer.FeaturePlainLoad) {
			// Errors are ignored: the next report makes up for a lost one.
			_ = conn.Send(m)
		}
	}
}

// receive handles the reports of other gateways.
func (p *plain) receive(m *peer.PlainLoadReports) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	now := p.g.clock.Now()
	for _, r := range m.Reports {
		p.loads.Receive(now, r)
	}
}
