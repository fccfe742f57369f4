package experiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/experiment"
	"wardturn/policy"
)

func zurich(rate float64) []experiment.Request {
	p, err := experiment.NewProfile(experiment.ProfileZurich)
	Expect(err).NotTo(HaveOccurred())
	p.Rate = rate
	p.Duration = 90 * time.Second
	return p.Generate(1)
}

func compare(trace []experiment.Request, setup experiment.Setup, names ...string) experiment.Report {
	var list []experiment.Candidate
	for _, n := range names {
		list = append(list, experiment.Candidate{
			Name: n,
		})
	}
	rep, err := experiment.Compare(context.Background(), trace, setup, list, 1, nil)
	Expect(err).NotTo(HaveOccurred())
	return rep
}

var _ = Describe("Compare", func() {
	It("is deterministic", func() {
		trace := zurich(15)
		var docs [2][]byte
		for i := range docs {
			rep := compare(trace, experiment.DefaultSetup(), policy.NameDefault, policy.NameZurich)
			doc, err := json.Marshal(rep)
			Expect(err).NotTo(HaveOccurred())
			docs[i] = doc
		}
		Expect(docs[0]).To(Equal(docs[1]))
	})

	It("counts exactly one outcome per request", func() {
		trace := zurich(15)
		for _, res := range compare(trace, experiment.DefaultSetup(), policy.NameLRU, policy.NameAffinity, policy.NameDefault, policy.NameClairvoyant).Policies {
			Expect(res.Done+res.NotRun+res.Unknown).To(Equal(len(trace)), res.Name)
		}
	})

	It("has shorter load stalls with the default policy than with the baselines", func() {
		res := compare(zurich(12), experiment.DefaultSetup(), policy.NameDefault, policy.NameAffinity, policy.NameLRU).Policies
		Expect(res[0].LoadStall.Mean).To(BeNumerically("<", res[1].LoadStall.Mean))
		Expect(res[0].LoadStall.Mean).To(BeNumerically("<", res[2].LoadStall.Mean/10))
	})
})

var _ = Describe("ReadTrace", func() {
	It("reads the output of WriteTrace", func() {
		trace := zurich(5)
		var buf bytes.Buffer
		Expect(experiment.WriteTrace(&buf, trace)).To(Succeed())
		again, err := experiment.ReadTrace("t", &buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(trace))
	})

	const good = `{"at_ms":5,"caller":"c","adapter":"a","version":1,"class":"batch","prompt_tokens":1,"output_tokens":1}` + "\n"
	DescribeTable("rejects invalid lines with file and line",
		func(line, reason string) {
			_, err := experiment.ReadTrace("t.jsonl", strings.NewReader(good+line))
			Expect(err).To(MatchError(ContainSubstring("t.jsonl:2: ")))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("not JSON", "{", "unexpected EOF"),
		Entry("unknown field", strings.Replace(good, "caller", "calller", 1), "unknown field"),
		Entry("out of order", strings.Replace(good, ":5,", ":4,", 1), "lower than on the line before"),
		Entry("bad class", strings.Replace(good, "batch", "bulk", 1), "neither interactive nor batch"),
		Entry("no tokens", strings.Replace(good, `"output_tokens":1`, `"output_tokens":0`, 1), "output_tokens"),
		Entry("no version", strings.Replace(good, `"version":1`, `"version":0`, 1), "version"),
		Entry("too long", strings.Repeat("x", 70<<10), "token too long"),
	)
})
