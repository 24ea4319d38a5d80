package main

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against findings and differences that aren't printed, and against exit
// codes that differ from those in the help.
func TestConfigCheck(t *testing.T) {
	c := newConsole(t)
	c.addFleet()
	check := func(code int, file, flags string) (reportOutput, string) {
		t.Helper()
		var report reportOutput
		out, errOut := c.run(code, file, "config check - --output json "+flags)
		assert.NilError(t, json.Unmarshal([]byte(out), &report), out)
		return report, errOut
	}
	const right = `[{"op":"set_budget","pool":"steps","max_unavailable":2}]`
	report, text := check(exitDone, right, "--strict")
	assert.Equal(t, *report.Version, uint64(9))
	assert.Equal(t, len(report.Findings), 0)
	assert.DeepEqual(t, report.Differences, []differenceOutput{{"pools", "steps", "changed", []fieldOutput{{"max_unavailable", "1", "2"}}}})
	assert.Equal(t, text, "1 change is right, checked against version 9\n")
	out, _ := c.run(exitDone, right, "config check -")
	assert.Equal(t, out, "SECTION  NAME   DIFFERENCE  FIELDS\npools    steps  changed     max_unavailable \"1\" -> \"2\"\n")

	const warns = `[{"op":"add_zone","name":"z1","region":"west"}]`
	report, text = check(exitDone, warns, "")
	assert.Equal(t, text, "1 change without errors, with 1 warning, checked against version 9\n")
	assert.DeepEqual(t, report.Findings, []findingOutput{{
		"zone_without_instances", "warning", "zones.z1", "no instance is in the zone", "an instance in it, or no such zone", false,
	}})
	_, text = check(exitFailed, warns, "--strict")
	assert.Assert(t, strings.Contains(text, "causes 1 warning, expected none"), text)
	c.run(exitDone, "", "zone add z1 --region west")
	check(exitDone, right, "--strict")

	const refused = `[{"op":"zone_out","name":"z9"}]`
	report, text = check(exitFailed, refused, "")
	assert.Equal(t, report.Findings[0].Name, "unknown_name")
	assert.Assert(t, strings.Contains(text, `changes[0].name: unknown zone "z9", expected one of z0, z1`), text)
	out, _ = c.run(exitFailed, refused, "config check -")
	assert.Assert(t, strings.HasPrefix(out, "SEVERITY  NAME          PLACE            IN FORCE  MESSAGE"), out)
	report, text = check(exitFailed, `[{"op":"zone_out","nam":"z"}]`, "")
	assert.Equal(t, report.Findings[0].Name, "bad_form")
	assert.Assert(t, strings.Contains(text, "changes[0].name: is missing"), text)
	out, _ = c.run(exitFailed, "", "config check missing.json --output json")
	assert.Equal(t, out, "")
}

// Guards against a check without an operator URL that needs an entry or claims to
// have compared versions.
func TestConfigCheckForm(t *testing.T) {
	c := newConsole(t)
	t.Setenv(envOperator, "")
	out, text := c.run(exitDone, `[{"op":"zone_out","name":"z"},{"op":"zone_in","name":"z"}]`, "config check -")
	assert.Assert(t, strings.Contains(out, "change_overridden"), out)
	assert.Equal(t, text, "2 changes without errors, with 1 warning, checked against its form only\n")
	out, _ = c.run(exitDone, `[{"op":"zone_out","name":"z"}]`, "config check - --output json")
	assert.Equal(t, out, "{\n  \"findings\": [],\n  \"differences\": []\n}\n")
}

// Guards against findings that have no line in the page, and lines of findings
// that don't exist.
func TestFindingsInPage(t *testing.T) {
	page := readPage(t, "docs/CHECKS.md")
	names := func(heading string) []string {
		return uniqueMatches("(?m)^\\| `(\\w+)` \\|", section(t, page, heading))
	}
	assert.DeepEqual(t, names("## Errors"), uniqueMatches(`ProblemKind = "(\w+)"`, readPage(t, "core/tmchange/problem.go")))
	assert.DeepEqual(t, names("## Warnings"), uniqueMatches(`Name = "(\w+)"`, readPage(t, "core/tmcheck/finding.go")))
}
