// Package tmseed gives tests their seeds: fixed ones in CI, fresh ones when
// TM_FRESH_SEEDS is set. The seed is printed either way.
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

// fixed is the seed in CI.
const fixed = 20261204

// First returns the seed of this run of the tests. A seed given on the command
// line as -rapid.seed is taken before all others.
func First() uint64 {
	seed, err := strconv.ParseUint(flag.Lookup("rapid.seed").Value.String(), 10, 64)
	if err != nil || seed == 0 {
		return fixed
	}
	return seed
}

// Main runs the tests of a package. It is called from TestMain and does not
// return.
func Main(m *testing.M) {
	MainFrom(m, fixed)
}

// MainFrom is Main for a package that has a fixed seed of its own.
func MainFrom(m *testing.M, own uint64) {
	flag.Parse()
	seed := First()
	if seed == fixed {
		seed = own
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
