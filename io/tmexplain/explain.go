package tmexplain

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"turmericmoor/core/tmevent"
)

// ErrNotFound means that no log line names the job or task.
var ErrNotFound = errors.New("tmexplain: no line names the job")

// slowStartThreshold is the wait from submission to the first placement above
// which the wait is reported as a finding.
const slowStartThreshold = 500 * time.Millisecond

// Report holds the history of a job and the findings about it.
type Report struct {
	Lines []Line
	// Findings describe failures, delays and missing log lines, in order.
	Findings []string
}

// Explain reports the history of a job or of one of its tasks. If no line names it,
// the error wraps ErrNotFound and gives the range of times that was searched.
func (l *Logs) Explain(id string) (Report, error) {
	job, _, _ := strings.Cut(id, ".")
	own := l.jobLines(id, job)
	if len(own) == 0 {
		first, last := l.Range()
		return Report{}, fmt.Errorf("%w: %s, searched from %s to %s",
			ErrNotFound, id, first.Format(time.RFC3339Nano), last.Format(time.RFC3339Nano))
	}
	sortLines(own)
	from, to := own[0].Time, own[len(own)-1].Time
	lines := slices.Concat(own, l.contextLines(own, from, to))
	sortLines(lines)
	return Report{Lines: lines, Findings: l.findings(own, from, to)}, nil
}

// jobLines returns the lines that name the job, the id of the task, or a task whose
// id extends it.
func (l *Logs) jobLines(id, job string) []Line {
	var own []Line
	for _, line := range l.lines {
		task := line.text("task")
		switch {
		case line.text("job") == job, strings.HasSuffix(line.text("path"), "/"+job):
		case task == id, strings.HasPrefix(task, id+"."):
		default:
			continue
		}
		own = append(own, line)
	}
	return own
}

// fleetEvents are the events that concern every job that is open at the time.
var fleetEvents = map[tmevent.Name]bool{
	tmevent.OwnerWon: true, tmevent.OwnerLoaded: true, tmevent.OwnerEnded: true, tmevent.OwnerDeposed: true,
	tmevent.StoreLost: true, tmevent.StoreRegained: true, tmevent.ZoneOut: true,
	tmevent.LinesDropped: true, tmevent.LinesLeftOut: true,
}

// endpointEvents are the events that concern the jobs with tasks on the endpoint.
var endpointEvents = map[tmevent.Name]bool{
	tmevent.EndpointSilent: true, tmevent.EndpointAnswers: true, tmevent.EndpointLost: true,
	tmevent.EndpointSlow: true, tmevent.EndpointAvoided: true, tmevent.EndpointCleared: true, tmevent.EndpointDraining: true,
	tmevent.EndpointUnlisted: true, tmevent.EndpointRestarted: true, tmevent.EndpointCrashed: true,
}

// contextLines returns the fleet events and the events of the endpoints of the job
// between from and to.
func (l *Logs) contextLines(own []Line, from, to time.Time) []Line {
	endpoints := map[string]bool{}
	for _, line := range own {
		if e := line.text("endpoint"); e != "" {
			endpoints[e] = true
		}
	}
	var lines []Line
	for _, line := range l.lines {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if fleetEvents[line.Event] || endpointEvents[line.Event] && endpoints[line.text("endpoint")] {
			lines = append(lines, line)
		}
	}
	return lines
}

// runStage ranks the events of one run in causal order.
var runStage = map[tmevent.Name]int{
	tmevent.CallerSubmit: 0, tmevent.TaskPlaced: 1, tmevent.StartAnswer: 2, tmevent.RunStopping: 3, tmevent.RunInDoubt: 3,
	tmevent.RunEnded: 4, tmevent.RunGone: 4, tmevent.RunLost: 4,
}

// sortLines sorts by time, but keeps the events of one run in causal order,
// because the clocks of nodes differ.
func sortLines(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
	last := map[string]int{}
	for i := range lines {
		rank, ok := runStage[lines[i].Event]
		key := lines[i].text("task") + "/" + lines[i].text("run")
		if !ok || key == "/" {
			continue
		}
		if prev, seen := last[key]; seen && runStage[lines[prev].Event] > rank {
			line := lines[i]
			copy(lines[prev+1:i+1], lines[prev:i])
			lines[prev] = line
			last[key] = prev + 1
			continue
		}
		last[key] = i
	}
}

func (l *Logs) findings(own []Line, from, to time.Time) []string {
	f := &findingsBuilder{openRuns: map[string]Line{}}
	for _, line := range own {
		f.addLine(line)
	}
	out := f.summary()
	for _, line := range l.lines {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		switch line.Event {
		case tmevent.LinesDropped, tmevent.LinesLeftOut:
			out = append(out, fmt.Sprintf("gap: %s left out %s lines around %s", line.Node, line.text("count"), line.Time.Format(time.TimeOnly)))
		case tmevent.OwnerWon:
			out = append(out, fmt.Sprintf("the owner changed to %s (token %s) at %s", line.Node, line.text("token"), line.Time.Format(time.TimeOnly)))
		}
	}
	return out
}

// findingsBuilder collects the findings from the lines of a job.
type findingsBuilder struct {
	submitted, firstPlaced, final Line
	problems                      []string
	// openRuns are the placements of runs without an end so far.
	openRuns map[string]Line
}

func (f *findingsBuilder) addLine(line Line) {
	key := line.text("task") + " run " + line.text("run")
	switch line.Event {
	case tmevent.CallerSubmit, tmevent.CallerCancel, tmevent.CallerState:
		f.addCall(line)
	case tmevent.CallerRefused:
		f.addProblem("refused with status %s by %s: %s", line.text("status"), line.Node, line.text("cause"))
	case tmevent.TaskPlaced:
		if f.firstPlaced.Time.IsZero() {
			f.firstPlaced = line
		}
		f.openRuns[key] = line
	case tmevent.StartAnswer:
		f.addProblem("%s: start answered %s by %s", key, line.text("answer"), line.text("endpoint"))
	case tmevent.RunInDoubt:
		f.addProblem("%s: %s crashed, and may carry out the start order when it is back; starts nowhere else for up to %s ms",
			key, line.text("endpoint"), line.text("for_ms"))
	case tmevent.RunLost, tmevent.RunGone:
		delete(f.openRuns, key)
		f.addProblem("%s: lost on %s, %s", key, line.text("endpoint"), line.text("cause"))
	case tmevent.RunEnded:
		delete(f.openRuns, key)
		if how := line.text("how"); how != "done" {
			f.addProblem("%s: ended %s on %s", key, how, line.text("endpoint"))
		}
	case tmevent.JobFinal:
		f.final = line
	}
}

func (f *findingsBuilder) addCall(line Line) {
	outcome := line.text("outcome")
	if outcome != "ok" {
		f.addProblem("%s at %s: %s after %s ms", line.Event, line.Node, outcome, line.text("took_ms"))
		return
	}
	if line.Event == tmevent.CallerSubmit && f.submitted.Time.IsZero() {
		f.submitted = line
	}
}

func (f *findingsBuilder) addProblem(format string, args ...any) {
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

func (f *findingsBuilder) summary() []string {
	var out []string
	switch {
	case f.submitted.Time.IsZero():
		out = append(out, "no node logged that it accepted the job")
	case f.firstPlaced.Time.IsZero():
		out = append(out, "accepted, but no task was placed: no free capacity, the limit of its team, or no owner")
	case f.firstPlaced.Time.Sub(f.submitted.Time) > slowStartThreshold:
		out = append(out, fmt.Sprintf("the first task waited %d ms to be placed", f.firstPlaced.Time.Sub(f.submitted.Time).Milliseconds()))
	}
	out = append(out, f.problems...)
	if f.final.Time.IsZero() {
		for _, key := range sortedKeys(f.openRuns) {
			out = append(out, fmt.Sprintf("gap: %s on %s has no end", key, f.openRuns[key].text("endpoint")))
		}
		return append(out, "gap: no node logged an outcome")
	}
	elapsed := ""
	if !f.submitted.Time.IsZero() {
		elapsed = fmt.Sprintf(" %d ms after it was accepted", f.final.Time.Sub(f.submitted.Time).Milliseconds())
	}
	return append(out, fmt.Sprintf("%s%s: %s", f.final.text("state"), elapsed, f.final.text("cause")))
}

func sortedKeys(m map[string]Line) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) error {
	for _, line := range r.Lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%s %s %s%s\n", line.Time.Format("15:04:05.000"), line.Node, line.Event, fields.String()); err != nil {
			return fmt.Errorf("tmexplain: %w", err)
		}
	}
	if _, err := fmt.Fprintln(w, "findings:"); err != nil {
		return fmt.Errorf("tmexplain: %w", err)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, "-", f); err != nil {
			return fmt.Errorf("tmexplain: %w", err)
		}
	}
	return nil
}
