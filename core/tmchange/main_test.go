package tmchange

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, which rapid prints on failure.
// TM_FRESH_SEEDS and -rapid.seed select others.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if os.Getenv("TM_FRESH_SEEDS") == "" && seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
