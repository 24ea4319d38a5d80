package scenario_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/scenario"
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

// knownRed returns the names of the scripts that KNOWN-RED.txt lists as known
// failures, each on a line that begins with "scenario NAME:".
func knownRed(t *testing.T) map[string]bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if !errors.Is(err, os.ErrNotExist) {
		assert.NilError(t, err)
	}
	red := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		rest, found := strings.CutPrefix(line, "scenario ")
		if name, _, colon := strings.Cut(rest, ":"); found && colon {
			red[strings.TrimSpace(name)] = true
		}
	}
	return red
}

// Guards against violations of the design's guarantees under the faults that each
// script injects. -run 'TestScripts/NAME' runs a single script.
// TM_RUN_KNOWN_RED=1 also runs the known failures listed in KNOWN-RED.txt.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	red := knownRed(t)
	var run []string
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if red[name] && os.Getenv("TM_RUN_KNOWN_RED") == "" {
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
