package decide_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed of the model checks, so that every run has the same
// verdict. Pass -rapid.seed and -rapid.checks for more and other histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4000")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("80") // a fault needs several events to show
	}
	os.Exit(m.Run())
}

func TestDecide(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decide")
}
