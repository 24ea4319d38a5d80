// Package tmseed sets the random seed of tests: a fixed one in CI, a random one if
// TM_FRESH_SEEDS is set. The seed is printed in both cases.
package tmseed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // Registers the flag rapid.seed.
)

// defaultSeed is the fixed seed in CI.
const defaultSeed = 20261204

// First returns the first seed of this test run. The flag -rapid.seed takes
// precedence over all other seeds.
func First() uint64 {
	seed, err := strconv.ParseUint(flag.Lookup("rapid.seed").Value.String(), 10, 64)
	if err != nil || seed == 0 {
		return defaultSeed
	}
	return seed
}

// Main sets the seed and runs the tests of a package. It is called from TestMain
// and does not return.
func Main(m *testing.M) {
	MainFrom(m, defaultSeed)
}

// MainFrom is like Main, with packageSeed as the fixed seed of the package.
func MainFrom(m *testing.M, packageSeed uint64) {
	flag.Parse()
	seed := First()
	if seed == defaultSeed {
		seed = packageSeed
		if os.Getenv("TM_FRESH_SEEDS") != "" {
			seed = rand.Uint64()
		}
	}
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(seed, 10),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("tmseed: set flag %s: %v", name, err))
		}
	}
	fmt.Fprintln(os.Stderr, "rapid.seed", seed)
	os.Exit(m.Run())
}
