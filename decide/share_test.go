package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

// fullUpstream simulates a plain upstream that runs two requests at a time, each for one
// second, in virtual time.
type fullUpstream struct {
	now   time.Time
	agent *decide.Agent
	out   decide.Orders
	team  map[wardturn.AttemptID]wardturn.TeamID
	ran   map[wardturn.TeamID]int
	seq   uint64
}

func newFullUpstream() *fullUpstream {
	return &fullUpstream{
		now: start,
		agent: decide.NewAgent(start, decide.AgentConfig{
			Upstream:    "u",
			MaxRunning:  2,
			StarveAfter: time.Hour,
		}, policy.Default{}, decide.NewStaticPermits(decide.StoreLimit{}, 1)),
		team: make(map[wardturn.AttemptID]wardturn.TeamID),
		ran:  make(map[wardturn.TeamID]int),
	}
}

func (u *fullUpstream) admit(team wardturn.TeamID, n int) {
	for range n {
		u.seq++
		id := wardturn.AttemptID{
			Entry: "e",
			Seq:   u.seq,
		}
		u.team[id] = team
		u.agent.Admit(u.now, decide.Work{
			Attempt: id,
			Team:    team,
		}, &u.out)
	}
}

// advance advances time by one second: the running requests end and the next ones start.
func (u *fullUpstream) advance() {
	running := u.out.Run
	u.out = decide.Orders{}
	u.now = u.now.Add(time.Second)
	for _, st := range running {
		u.ran[u.team[st.Attempt]]++
		u.agent.Finished(u.now, st.Attempt, &u.out)
	}
}

var _ = Describe("Weights of teams", func() {
	It("let a small team run before the backlog of another team", func() {
		u := newFullUpstream()
		u.admit("flood", 100)
		for range 5 {
			u.advance()
		}
		u.admit("small", 4)
		for range 3 {
			u.advance()
		}
		Expect(u.ran["small"]).To(Equal(4), "in order of arrival they would wait behind 90 others")
	})

	It("divide a full upstream by weight", func() {
		u := newFullUpstream()
		u.agent.SetWeights(map[wardturn.TeamID]float64{
			"heavy": 3,
		})
		u.admit("heavy", 200)
		u.admit("light", 200)
		for range 80 {
			u.advance()
		}
		part := float64(u.ran["heavy"]) / float64(u.ran["heavy"]+u.ran["light"])
		Expect(part).To(BeNumerically("~", 0.75, 0.05))
	})
})
