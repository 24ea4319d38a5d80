package scenario_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/scenario"
	"turmericmoor/internal/tmknownred"
)

// parallelScripts bounds the number of concurrent fleets. On a machine with 10
// cores, more than 2 of them reduce each other's goodput.
const parallelScripts = "2"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("test.parallel"); f != nil {
		_ = f.Value.Set(parallelScripts)
	}
	os.Exit(m.Run())
}

// Guards against violations of the design's guarantees under the faults that each
// script injects. -run 'TestScripts/NAME' runs a single script.
// TM_RUN_KNOWN_RED=1 also runs the known failures listed in KNOWN-RED.txt.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	red := tmknownred.Names(t, "scenario")
	var run []string
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if red[name] && !tmknownred.RunAll() {
			fmt.Printf("KNOWN RED, passed over: scenario %s\n", name)
		} else {
			run = append(run, file)
		}
		delete(red, name)
	}
	assert.Equal(t, len(red), 0, "KNOWN-RED.txt lists scripts that don't exist: %v", red)
	assert.Assert(t, len(run) > 0)
	scenario.Run(t, run...)
}
