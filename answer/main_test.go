package answer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.checks", "2000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
