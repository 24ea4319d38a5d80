package tmexplain_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/io/tmexplain"
)

const sample = `not json
  0.1 node-1 {"time":"2026-01-01T00:00:00.100Z","level":"info","msg":"caller_submit","node":"node-1","job":"aa","queue":"q","outcome":"ok","took_ms":9}
{"time":"2026-01-01T00:00:01.500Z","level":"info","msg":"run_lost","node":"node-2","task":"aa.0.0.0","run":1,"endpoint":"e1","cause":"lease lapsed"}
{"time":"2026-01-01T00:00:01.400Z","level":"info","msg":"run_in_doubt","node":"node-2","task":"aa.0.0.0","run":1,"endpoint":"e1","sends":2,"unanswered":1,"for_ms":9000}
{"time":"2026-01-01T00:00:01.600Z","level":"info","msg":"task_placed","node":"node-3","task":"aa.0.0.0","run":1,"endpoint":"e1"}
{"time":"2026-01-01T00:00:01.200Z","level":"info","msg":"endpoint_silent","node":"node-2","endpoint":"e1","runs":1,"cause":"timeout"}
{"time":"2026-01-01T00:00:01.700Z","level":"info","msg":"endpoint_silent","node":"node-2","endpoint":"e9","runs":1,"cause":"timeout"}
{"time":"2026-01-01T00:00:02.000Z","level":"info","msg":"job_final","node":"node-2","job":"aa","state":"failed","cause":"task aa.0.0.0 failed too often"}
`

func read(t *testing.T) *tmexplain.Logs {
	t.Helper()
	var logs tmexplain.Logs
	assert.NilError(t, logs.Read(strings.NewReader(sample)))
	return &logs
}

// Guards against findings without the cause of a failed job, against events of
// other endpoints in the report, and against listing a lost run before its start
// when the clocks of the nodes differ.
func TestExplainReportsCause(t *testing.T) {
	logs := read(t)
	assert.Equal(t, logs.Unreadable(), 1)
	report, err := logs.Explain("aa")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, report.Write(&out))
	text := out.String()
	assert.Assert(t, strings.Contains(text, "the first task waited 1500 ms"))
	assert.Assert(t, strings.Contains(text, "aa.0.0.0 run 1: lost on e1, lease lapsed"))
	assert.Assert(t, strings.Contains(text, "aa.0.0.0 run 1: e1 crashed, and may carry out the start order when it is back; starts nowhere else for up to 9000 ms"))
	assert.Assert(t, strings.Contains(text, "failed 1900 ms after it was accepted: task aa.0.0.0 failed too often"))
	assert.Assert(t, strings.Index(text, "task_placed") < strings.Index(text, "run_lost"))
	assert.Assert(t, !strings.Contains(text, "e9"))
}

// Guards against an error for an unknown id without the range of times that was
// searched.
func TestExplainUnknownJob(t *testing.T) {
	_, err := read(t).Explain("bb")
	assert.Assert(t, errors.Is(err, tmexplain.ErrNotFound))
	assert.ErrorContains(t, err, "2026-01-01T00:00:00.1Z")
}

func ExampleLogs_Explain() {
	var logs tmexplain.Logs
	line := `{"time":"2026-01-01T00:00:00Z","msg":"caller_refused","node":"node-1","path":"/scan/aa","status":503,"cause":"no configuration yet"}`
	if err := logs.Read(strings.NewReader(line)); err != nil {
		panic(err)
	}
	report, err := logs.Explain("aa")
	if err != nil {
		panic(err)
	}
	if err := report.Write(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// 00:00:00.000 node-1 caller_refused cause=no configuration yet path=/scan/aa status=503
	// findings:
	// - no node logged that it accepted the job
	// - refused with status 503 by node-1: no configuration yet
	// - gap: no node logged an outcome
}
