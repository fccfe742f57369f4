package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/standin"
)

// sendWithParts sends a request whose prompt has the given parts, before a part of its own,
// through a gateway. The request is like no other.
func (x *crashRig) sendWithParts(i int, path, model string, parts ...string) reply {
	n := attempts.Add(1)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s%s%d", x.fronts[i], path, n), strings.NewReader(fmt.Sprintf("prompt %d", n)))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", fmt.Sprintf("part-%d", n))
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	var prompt strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&prompt, "%s:400,", p)
	}
	fmt.Fprintf(&prompt, "%x:50", n+1<<32)
	req.Header.Set("X-Wardturn-Prompt-Prefix", prompt.String())
	if model != "" {
		req.Header.Set("X-Wardturn-Model", model)
	}
	return x.do(req)
}

var _ = Describe("Lines about lost responses", func() {
	const (
		shared = "a1"
		fatal  = "bad1"
	)
	var x *crashRig
	BeforeEach(func() {
		x = newCrashRig()
	})
	partID := func(service wardturn.ServiceName, part string) string {
		return string(wardturn.PromptPartID(service, part))
	}

	It("name the shared parts of the prompt and whether a response had begun", func() {
		x.setAllFaults(standin.WorkerFaults{
			CrashOnPart: []string{fatal},
		})
		x.sendWithParts(0, "/charge/", "", shared, fatal)
		Expect(x.log.String()).To(MatchRegexp(`send failed:.* began=false parts="%s,%s" `, partID("app", shared), partID("app", fatal)))
	})

	It("are written too if the head of a stream has come and no event", func() {
		for _, m := range x.engines {
			m.SetFaults(standin.WorkerFaults{
				CrashOnPart: []string{fatal},
			})
		}
		Eventually(func() string {
			x.sendWithParts(0, "/ask/", "m0", shared, fatal)
			return x.log.String()
		}, eventTimeout, 50*time.Millisecond).Should(MatchRegexp(`answer lost:.* began=false parts="%s,%s" `, partID("llm", shared), partID("llm", fatal)))
	})
})
