package decide_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed of the rapid checks, so that every run has the same result.
// Pass -rapid.seed and -rapid.checks to check other and more histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4000")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("80") // a fault may need several events to show
	}
	os.Exit(m.Run())
}

func TestDecide(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decide")
}
