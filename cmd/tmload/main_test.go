package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a judge whose exit code hides violations.
func TestJudgeExitCode(t *testing.T) {
	const events = `{"events":[
		{"at_ms":1000,"event":"start","attempt":"x","request_id":"r","team":"crews","queue":"scans","zone":"a"},
		{"at_ms":2000,"event":"end","attempt":"x","request_id":"r","team":"crews","queue":"scans","zone":"a"}]}`
	submission := `{"team":"crews","queue":"scans","echo":"e","request_id":"r","code":%q,"outcome":%q,"answer_echo":"e","answer_id":"r"}`
	cases := []struct {
		code, outcome, flags string
		want                 int
	}{
		{"ok", "ran", "--limit crews=1 --complete", exitDone},
		{"ok", "ran", "--limit crews=0", exitViolation},
		{"deadline", "not_run", "", exitViolation},
		{"ok", "ran", "--zone-out a=-4001", exitFailed},
		{"ok", "ran", "--zone-out a=1000-900", exitFailed},
		{"ok", "ran", "--limit crews", exitFailed},
	}
	for _, c := range cases {
		line := fmt.Sprintf("judge --journal %s --events %s %s",
			write(t, "journal.jsonl", fmt.Sprintf(submission, c.code, c.outcome)), write(t, "events.json", events), c.flags)
		var out, errOut bytes.Buffer
		assert.Equal(t, run(context.Background(), strings.Fields(line), &out, &errOut), c.want, out.String()+errOut.String())
	}
	var out, errOut bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"judge"}, &out, &errOut), exitFailed)
}

// Guards against a load file whose mistakes are ignored, so that another load
// is measured than the file says.
func TestLoadFile(t *testing.T) {
	good := `[load]
entries = http://127.0.0.1:1 http://127.0.0.1:2
duration = 5s
seed = 7
[stream scans]
team = crews
queue = scans
rate = 2.5
run = uniform:10ms-20ms
own_ids = true
retries = 2
`
	plan, err := readPlan(write(t, "load.ini", good))
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Entries), 2)
	assert.Equal(t, plan.Duration, 5*time.Second)
	assert.Equal(t, plan.Streams[0].Rate, 2.5)
	assert.Assert(t, plan.Streams[0].CallerChoosesIDs)
	for edit, want := range map[string]string{
		"rate = 2.5 -> rate = fast":        "rate",
		"own_ids -> owned":                 `unknown key "owned"`,
		"[stream scans] -> [queue scans]":  "unknown section",
		"team = crews -> key_file = none":  "key_file",
		"run = uniform -> run = triangles": "expected fixed",
	} {
		from, to, _ := strings.Cut(edit, " -> ")
		_, err := readPlan(write(t, "load.ini", strings.Replace(good, from, to, 1)))
		assert.ErrorContains(t, err, want)
	}
	example, err := readPlan("../../docs/load.example.ini")
	assert.NilError(t, err)
	assert.NilError(t, example.Check())
	_, err = parseStream("name=a,queue")
	assert.ErrorContains(t, err, "key=value")
}

// Guards against a load and a judge that don't fit together or with real
// processes: the judge has to pass a sound run and to find a violation in the
// same journals.
func TestRunAndJudge(t *testing.T) {
	f := harness.New(t, harness.Layout{Entries: 2, Endpoints: 3})
	journal := filepath.Join(t.TempDir(), "journal.jsonl")
	var out, errOut bytes.Buffer
	args := []string{
		"run", "--duration", "1s", "--seed", "1", "--journal", journal, "--entry", strings.Join(f.URLs(), ","),
		"--stream", "name=scans,team=crews,queue=steps,rate=30,run=fixed:5ms,own_ids=true,key_file=" + f.KeyFile("crews"),
	}
	assert.Equal(t, run(context.Background(), args, &out, &errOut), exitDone, errOut.String())
	var report load.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Assert(t, report.Total.Requests > 0)
	assert.Equal(t, report.Total.Codes["ok"], report.Total.Requests)

	args = []string{"judge", "--journal", journal, "--platform", f.PlatformURL(), "--complete"}
	for _, e := range f.Endpoints() {
		args = append(args, "--endpoint", e.URL())
	}
	out.Reset()
	assert.Equal(t, run(context.Background(), args, &out, &errOut), exitDone, out.String()+errOut.String())
	for _, violation := range []string{"--zone-out=zone-a=1", "--limit=crews=0"} {
		out.Reset()
		assert.Equal(t, run(context.Background(), append(args, violation), &out, &errOut), exitViolation, out.String())
	}
}
