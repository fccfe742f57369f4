package gateway

import (
	"fmt"
	"strings"

	"wardturn"
)

// promptParts returns the IDs of the parts of a prompt that other prompts may share, from
// the caller's list: ID:TOKENS joined by commas, in one header line or several. The last part
// belongs to the request or its session. Any of the others may crash upstreams, so their number is
// limited only by the size of a request's head.
func promptParts(service wardturn.ServiceName, lines []string) []wardturn.ContentID {
	header := strings.Join(lines, ",")
	n := strings.Count(header, ",")
	if n == 0 {
		return nil
	}
	parts := make([]wardturn.ContentID, 0, n)
	seen := make(map[wardturn.ContentID]bool, n)
	for range n {
		var part string
		part, header, _ = strings.Cut(header, ",")
		name, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		id := wardturn.PromptPartID(service, strings.ToLower(name))
		if name != "" && !seen[id] {
			seen[id] = true
			parts = append(parts, id)
		}
	}
	return parts
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 32

// formatParts joins the IDs of parts for a log line. Beyond maxLoggedParts it states how many
// there are.
func formatParts(parts []wardturn.ContentID) string {
	names := make([]string, 0, min(len(parts), maxLoggedParts+1))
	for i, p := range parts {
		if i == maxLoggedParts {
			names = append(names, fmt.Sprintf("and %d more", len(parts)-i))
			break
		}
		names = append(names, string(p))
	}
	return strings.Join(names, ",")
}

// sendFields returns the fields of log lines about lost responses, followed by extra ones.
// They tell requests that crash their upstreams from those beside them: began tells whether
// bytes of the response arrived in this send.
func (x *exchange) sendFields(a assignment, extra ...any) []any {
	fields := []any{"id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "content", x.content, "sent_ago", x.g.clock.Now().Sub(x.send.sent), "began", !x.send.firstByte.IsZero()}
	if len(x.parts) > 0 {
		fields = append(fields, "parts", formatParts(x.parts))
	}
	return append(fields, extra...)
}
