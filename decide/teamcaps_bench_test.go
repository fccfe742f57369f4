package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// BenchmarkTeamCaps measures the check of a request against its team's cap, and the receipt
// of reports on all teams from all other gateways.
func BenchmarkTeamCaps(b *testing.B) {
	const teams = 16
	team := func(i int) wardturn.TeamID {
		return wardturn.TeamID(fmt.Sprintf("team%d", i%teams))
	}
	caps := func() *decide.TeamCaps {
		c := decide.NewTeamCaps(start, "self", decide.TeamCapConfig{})
		var list []wardturn.Team
		for i := range teams {
			list = append(list, wardturn.Team{
				ID: team(i),
				Cap: wardturn.UsageCap{
					Rate:  1e9,
					Burst: 1e9,
				},
			})
		}
		c.SetTeams(start, list)
		return c
	}
	for _, gateways := range []int{26, 470} {
		reports := make([]decide.TeamUsageReport, gateways)
		for i := range reports {
			reports[i].Process = wardturn.Incarnation(fmt.Sprint("g", i))
			for t := range teams {
				reports[i].Used = append(reports[i].Used, decide.TeamUsage{
					Team: team(t),
				})
			}
		}
		receive := func(c *decide.TeamCaps, now time.Time, seq uint64) {
			for i := range reports {
				reports[i].Seq = seq
				for t := range reports[i].Used {
					reports[i].Used[t].Total += 700
				}
				c.Receive(now, reports[i])
			}
		}
		b.Run(fmt.Sprintf("take/gateways=%d", gateways), func(b *testing.B) {
			c := caps()
			now := start.Add(time.Second)
			receive(c, now, 1)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				c.Charge(now, team(i), 700)
			}
		})
		b.Run(fmt.Sprintf("hear/gateways=%d", gateways), func(b *testing.B) {
			c := caps()
			now := start.Add(time.Second)
			seq := uint64(0)
			for b.Loop() {
				seq++
				now = now.Add(200 * time.Millisecond)
				receive(c, now, seq)
			}
		})
	}
}
