package policy_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/policy"
)

func TestPolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy")
}

var _ = Describe("Compile", func() {
	DescribeTable("names line, column and reason",
		func(src string, line, column int, reason string) {
			_, err := policy.CheckProgram("p.star", src)
			var p *policy.ProgramError
			Expect(err).To(BeAssignableToTypeOf(p))
			p = err.(*policy.ProgramError)
			Expect(p.Line).To(Equal(line), p.Error())
			Expect(p.Column).To(Equal(column), p.Error())
			Expect(p.Reason).To(ContainSubstring(reason))
		},
		Entry("syntax", "def slot(a)\n  return 1", 2, 1, "got newline"),
		Entry("unknown name", "def slot(a):\n  return b", 2, 10, "undefined: b"),
		Entry("unknown field", "def slot(a):\n  return a.rte", 2, 11, "no .rte field"),
		Entry("no functions", "x = 1", 1, 1, "defines none of"),
		Entry("parameters", "def hold(r, s):\n  return 1", 1, 1, "exactly one parameter"),
		Entry("not a function", "slot = 3", 1, 1, "is not a function"),
		Entry("not a number", "def order(r):\n  return 'x'", 1, 1, "not a finite number"),
		Entry("infinite", "def order(r):\n  return float('inf')", 1, 1, "not a finite number"),
		Entry("no loading", "load('x', 'y')\ndef slot(a):\n  return 1", 1, 1, "load"),
		Entry("too many steps at the top level", "x = [i for i in range(1000000)]", 1, 8, "too many steps"),
	)
})

var _ = Describe("Program", func() {
	in := wardturn.SlotInput{
		Rate:    2,
		Waiting: 3,
	}

	It("uses the default for one decision when a call fails, and counts the failure", func() {
		p, err := policy.Compile("p", "def slot(a):\n  if a.waiting == 3:\n    fail('no')\n  return 7.0")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Slot(in)).To(Equal(policy.Default{}.Slot(in)))
		Expect(p.Slot(wardturn.SlotInput{})).To(Equal(7.0))
		Expect(p.Counters()).To(Equal(policy.Counters{Calls: 2, Failures: 1}))
		Expect(p.LastError()).To(MatchError(ContainSubstring("p:3:")))
	})

	It("uses the default when a call takes too many steps", func() {
		p, err := policy.Compile("p", "def slot(a):\n  n = 0\n  for i in range(1000000):\n    n += i\n  return n")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Slot(in)).To(Equal(policy.Default{}.Slot(in)))
		Expect(p.Counters()).To(Equal(policy.Counters{Calls: 1, Failures: 1, StepLimitExceeded: 1}))
		Expect(p.Slot(in)).To(Equal(policy.Default{}.Slot(in)), "each call has its own step limit")
	})

	It("limits the result of hold", func() {
		p, err := policy.Compile("p", "def hold(r):\n  return -5 if r.running else 1e18")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Hold(wardturn.QueueInput{})).To(Equal(24 * time.Hour))
		Expect(p.Hold(wardturn.QueueInput{Running: 1})).To(BeZero())
	})

	It("cannot change its inputs or keep state", func() {
		_, err := policy.CheckProgram("p", "def slot(a):\n  a.rate = 3\n  return 1")
		Expect(err).To(HaveOccurred())
		_, err = policy.CheckProgram("p", "seen = []\ndef slot(a):\n  seen.append(a.adapter)\n  return 1")
		Expect(err).To(MatchError(ContainSubstring("frozen")))
	})

	It("uses the default for functions that it does not define", func() {
		p, err := policy.Compile("p", "def order(r):\n  return r.output_tokens")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Slot(in)).To(Equal(policy.Default{}.Slot(in)))
		Expect(p.Order(wardturn.QueueInput{Output: 9})).To(Equal(9.0))
	})
})

var _ = Describe("Inputs", func() {
	It("lists every field that a program can read", func() {
		for _, f := range policy.SlotFields() {
			_, err := policy.CheckProgram("p", "def slot(a):\n  x = a."+f.Name+"\n  return 1")
			Expect(err).NotTo(HaveOccurred(), f.Name)
		}
		for _, f := range policy.QueueFields() {
			_, err := policy.CheckProgram("p", "def hold(r):\n  x = r."+f.Name+"\n  return 1")
			Expect(err).NotTo(HaveOccurred(), f.Name)
		}
	})
})

var _ = Describe("docs/operators/policies.md", func() {
	page, err := os.ReadFile("../docs/operators/policies.md")

	It("has examples that pass the check", func() {
		Expect(err).NotTo(HaveOccurred())
		blocks := regexp.MustCompile("(?s)```python\n(.*?)```").FindAllStringSubmatch(string(page), -1)
		Expect(len(blocks)).To(BeNumerically(">=", 3))
		for _, b := range blocks {
			_, err := policy.CheckProgram("example", b[1])
			Expect(err).NotTo(HaveOccurred(), b[1])
		}
	})

	It("documents every input with its unit", func() {
		for _, f := range append(policy.SlotFields(), policy.QueueFields()...) {
			Expect(strings.Contains(string(page), "| `"+f.Name+"` | "+f.Unit+" | ")).To(BeTrue(), f.Name)
		}
	})
})

func BenchmarkSlot(b *testing.B) {
	p, err := policy.Builtin(policy.NameZurich)
	if err != nil {
		b.Fatal(err)
	}
	in := wardturn.SlotInput{
		Rate:    1,
		Waiting: 2,
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Slot(in)
	}
}
