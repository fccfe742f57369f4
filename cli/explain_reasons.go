package cli

import (
	"fmt"
	"strings"
	"time"

	"wardturn"
)

// explainReasons returns sentences that say why the request waited or was rejected, from
// the fields of the lines about it and of those about the configuration.
func explainReasons(lines []logLine, id string) []string {
	var reasons []string
	for _, l := range lines {
		if by := l.fields["by"]; by != "" && strings.Contains(l.text, "configuration in force") {
			reasons = append(reasons, fmt.Sprintf("the configuration at %s was passed on by %s, not read from the store", l.at.Format(logTimeLayout), by))
		}
		if l.fields["id"] != id {
			continue
		}
		switch {
		case strings.Contains(l.text, ": late:"):
			reasons = append(reasons, turnReason(l)...)
		case strings.Contains(l.text, ": refused:"):
			reasons = append(reasons, refusalReasons(l)...)
		case strings.Contains(l.text, ": beyond the cap:"):
			reasons = append(reasons, capReason(l))
		}
	}
	return reasons
}

// turnReason says how long a late response waited for a prefill turn.
func turnReason(l logLine) []string {
	turn := l.duration("turn")
	if turn <= 0 {
		return nil
	}
	return []string{fmt.Sprintf("waited %v of %v to the first event for a prefill turn at %s%s", turn, l.duration("first"), l.fields["upstream"], ofRank(l))}
}

// refusalReasons says which limit or prediction a refusal is due to.
func refusalReasons(l logLine) []string {
	var reasons []string
	if capacity, ok := l.float("capacity"); ok {
		demand, _ := l.float("demand")
		reasons = append(reasons, capacityReason(l, capacity, demand))
	}
	if l.fields["reason"] == string(wardturn.ReasonOrigin) {
		reasons = append(reasons, fmt.Sprintf("nobody knew which software version began %s: %s of %s queries to %s connected keepers had a reply after %v", l.fields["resumes"], l.fields["replied"], l.fields["asked"], l.fields["keepers"], l.duration("lookup")))
	}
	if l.fields["reason"] == string(wardturn.ReasonPromptPart) {
		reasons = append(reasons, fmt.Sprintf("rejected because upstreams ended as they began to answer requests with %s in their prompts", l.fields["part"]))
	}
	if l.fields["predicted"] != "" {
		reasons = append(reasons, fmt.Sprintf("rejected after %v because the predicted wait was %v%s", l.duration("waited"), l.duration("predicted"), ofRank(l)))
	}
	return reasons
}

func capacityReason(l logLine, capacity, demand float64) string {
	if demand > capacity {
		return fmt.Sprintf("rejected because the service can serve %s and is asked for %s%s; more urgent requests go first", formatRate(capacity), formatRate(demand), ofRank(l))
	}
	return fmt.Sprintf("rejected although the service can serve %s and is asked for %s%s: a backlog or a burst has used it up", formatRate(capacity), formatRate(demand), ofRank(l))
}

// capReason says whether a cap was used up or what was left of it went to more urgent
// requests.
func capReason(l logLine) string {
	left, _ := l.float("left_s")
	rest := time.Duration(left * float64(time.Second)).Round(time.Millisecond)
	if left > 0 {
		return fmt.Sprintf("rejected because team %s asks for more than its cap and the %v of its rate that are left go to more urgent requests%s", l.fields["team"], rest, ofRank(l))
	}
	return fmt.Sprintf("rejected because team %s has used up its cap, with a debt of %v of its rate%s", l.fields["team"], -rest, ofRank(l))
}

// ofRank names the rank of a request, if the line has it.
func ofRank(l logLine) string {
	if l.fields["rank"] == "" {
		return ""
	}
	return " (rank " + l.fields["rank"] + ")"
}
