package gateway

import (
	"slices"
	"strings"

	"wardturn"
)

// maxPromptParts bounds the parts of a prompt that are identified, and so the cost of a
// request that names many.
const maxPromptParts = 32

// promptParts returns the IDs of the parts of a prompt that other prompts may share, from
// the caller's list: ID:TOKENS joined by commas. The last part belongs to the request or
// its session.
func promptParts(service wardturn.ServiceName, header string) []wardturn.ContentID {
	var parts []wardturn.ContentID
	for len(parts) < maxPromptParts {
		part, rest, more := strings.Cut(header, ",")
		if !more {
			break
		}
		header = rest
		name, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		id := wardturn.PromptPartID(service, strings.ToLower(name))
		if name != "" && !slices.Contains(parts, id) {
			parts = append(parts, id)
		}
	}
	return parts
}

// formatParts joins the IDs of parts for a log line.
func formatParts(parts []wardturn.ContentID) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
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
