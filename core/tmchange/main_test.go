package tmchange

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the property tests with a fixed seed, which rapid prints on
// failure. Set TM_FRESH_SEEDS or -rapid.seed to use other seeds.
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
