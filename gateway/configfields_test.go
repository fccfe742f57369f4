package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// The routes of a rig's configuration for which single fields are changed.
const (
	lookRoute   = `"host":"h.example","path_prefix":"/look/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":2`
	resumeRoute = `"service":"llm","max_attempts":2,"resumable":true`
)

// replaceConfig returns a function that makes a configuration in which a text is replaced.
func replaceConfig(old, by string) func(version int) string {
	return func(version int) string {
		c := config(version, "")
		Expect(strings.Count(c, old)).To(Equal(1), old)
		return strings.Replace(c, old, by, 1)
	}
}

// statusOf returns the status of a request for a path.
func statusOf(path string) func(*rig) any {
	return func(x *rig) any {
		return x.get("field", path, "").status
	}
}

// faultyRunsOf returns how often a request for a path is run by workers with faults. Requests without faults
// go before it, since upstreams that only fail are left alone for seconds.
func faultyRunsOf(path, model string, workers func(*rig) []*standin.ModelWorker, f standin.WorkerFaults) func(*rig) any {
	return func(x *rig) any {
		for _, m := range workers(x) {
			m.SetFaults(standin.WorkerFaults{})
		}
		for range 8 {
			x.get("sound", path, model)
		}
		for _, m := range workers(x) {
			m.SetFaults(f)
		}
		id := fmt.Sprintf("field-%d", attempts.Add(1))
		x.send("POST", id, path, model, "prompt")
		return x.runs(id)
	}
}

func appsOf(x *rig) []*standin.ModelWorker    { return x.apps }
func enginesOf(x *rig) []*standin.ModelWorker { return x.engines }

// Guards against fields of a later version of the configuration that are never applied.
var _ = DescribeTable("A field of the configuration that changes applies while callers keep connections open, in both directions",
	func(old, by string, prepare func(*rig), effect func(*rig) any, before, after any) {
		original, changed := replaceConfig(old, old), replaceConfig(old, by)
		x := newRigOf(rigOptions{
			drain:      500 * time.Millisecond,
			domains:    []string{"d", "d"},
			config:     original(1),
			retryExtra: 1e6,
		})
		if prepare != nil {
			prepare(x)
		}
		observed := func() any {
			return effect(x)
		}
		Eventually(observed, eventTimeout, pollInterval).Should(Equal(before))
		x.store.PutConfig(changed(2))
		Eventually(observed, limitsBound, pollInterval).Should(Equal(after))
		x.store.PutConfig(original(3))
		Eventually(observed, limitsBound, pollInterval).Should(Equal(before))
	},
	Entry("host", lookRoute, strings.Replace(lookRoute, "h.example", "other.example", 1), nil, statusOf("/look/x"), http.StatusOK, http.StatusNotFound),
	Entry("path_prefix", lookRoute, strings.Replace(lookRoute, "/look/", "/seek/", 1), nil, statusOf("/look/x"), http.StatusOK, http.StatusNotFound),
	Entry("service", lookRoute, strings.Replace(lookRoute, `"service":"app"`, `"service":"none"`, 1), nil, statusOf("/look/x"), http.StatusOK, http.StatusServiceUnavailable),
	Entry("split", lookRoute, strings.Replace(lookRoute, `"service":"app"`, `"split":[{"service":"none","weight":1}]`, 1), nil, statusOf("/look/x"), http.StatusOK, http.StatusServiceUnavailable),
	Entry("timeout_ms", lookRoute, strings.Replace(lookRoute, `"timeout_ms":1000`, `"timeout_ms":200`, 1), func(x *rig) {
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Think: 500 * time.Millisecond,
			})
		}
	}, statusOf("/look/x"), http.StatusOK, http.StatusGatewayTimeout),
	Entry("max_attempts", lookRoute, strings.Replace(lookRoute, `"max_attempts":2`, `"max_attempts":1`, 1), nil, faultyRunsOf("/look/x", "", appsOf, standin.WorkerFaults{
		LoseAnswers: true,
	}), 2, 1),
	Entry("type", lookRoute, strings.Replace(lookRoute, "idempotent", "mutating", 1), nil, faultyRunsOf("/look/x", "", appsOf, standin.WorkerFaults{
		LoseAnswers: true,
	}), 2, 1),
	Entry("resumable", resumeRoute, strings.Replace(resumeRoute, "true", "false", 1), func(x *rig) {
		for _, e := range x.engines {
			e.Hold("a1")
		}
	}, faultyRunsOf("/resume/x", "m0/a1", enginesOf, standin.WorkerFaults{
		CutAfter: 2,
	}), 2, 1),
	Entry("priority", `"slo_ms":1500,"priority":1,`+resumeRoute, `"slo_ms":1500,"priority":3,`+resumeRoute, nil, func(x *rig) any {
		id := fmt.Sprintf("field-%d", attempts.Add(1))
		x.send("POST", id, "/resume/x", "m0/a1", "prompt")
		return x.headersOf(id).Get("Priority")
	}, "1", "3"),
	Entry("max_body_bytes", `"max_body_bytes":65536`, `"max_body_bytes":1024`, nil, func(x *rig) any {
		return x.send("POST", fmt.Sprintf("field-%d", attempts.Add(1)), "/look/x", "", strings.Repeat("b", 2048)).status
	}, http.StatusOK, http.StatusRequestEntityTooLarge),
)
