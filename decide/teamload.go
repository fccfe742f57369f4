package decide

import (
	"wardturn"
)

// teamLoads counts, for each team, the requests to engines that wait or run at this gateway.
// Within a rank, the team with fewer goes first when a team sends far more than the others.
// A team that is alone is not limited.
type teamLoads map[wardturn.TeamID]*int

// add adds n to the count of a team. Requests without a team are not counted.
func (t teamLoads) add(team wardturn.TeamID, n int) {
	if team == "" {
		return
	}
	count := t[team]
	if count == nil {
		count = new(int)
		t[team] = count
	}
	*count = max(0, *count+n)
	if *count == 0 {
		delete(t, team)
	}
}

// of returns the count of a team. It stays valid while one of its requests waits or runs.
func (t teamLoads) of(team wardturn.TeamID) *int {
	return t[team]
}

// loadOf is the value of a count, which is nil for requests without a team.
func loadOf(count *int) int {
	if count == nil {
		return 0
	}
	return *count
}

// AssignmentEnded records that an assigned request has ended or is not sent. It must be
// called once for each assignment to an upstream.
func (f *Fleet) AssignmentEnded(a Assignment) {
	if a.counted {
		f.teams.add(a.Team, -1)
	}
}
