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

// ErrUnknown means that no line names the job.
var ErrUnknown = errors.New("tmexplain: no line names the job")

// slowStart is after what wait the first start is called late.
const slowStart = 500 * time.Millisecond

// Report is the life of a job.
type Report struct {
	Lines []Line
	// Findings say what went wrong, or what is missing, in order.
	Findings []string
}

// Explain tells the life of a job, or of one task of it. It returns ErrUnknown
// with the range of times that was searched if no line names it.
func (l *Logs) Explain(id string) (Report, error) {
	job, _, _ := strings.Cut(id, ".")
	own := l.about(id, job)
	if len(own) == 0 {
		first, last := l.Range()
		return Report{}, fmt.Errorf("%w: %s, searched from %s to %s",
			ErrUnknown, id, first.Format(time.RFC3339Nano), last.Format(time.RFC3339Nano))
	}
	order(own)
	from, to := own[0].Time, own[len(own)-1].Time
	lines := slices.Concat(own, l.around(own, from, to))
	order(lines)
	return Report{Lines: lines, Findings: l.findings(own, from, to)}, nil
}

// about returns the lines that name the job or the task.
func (l *Logs) about(id, job string) []Line {
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

// fleetEvents concern every job of their time.
var fleetEvents = map[tmevent.Name]bool{
	tmevent.OwnerWon: true, tmevent.OwnerLoaded: true, tmevent.OwnerEnded: true, tmevent.OwnerDeposed: true,
	tmevent.StoreLost: true, tmevent.StoreRegained: true, tmevent.ZoneOut: true,
	tmevent.LinesDropped: true, tmevent.LinesLeftOut: true,
}

// endpointEvents concern the jobs whose tasks were on the endpoint.
var endpointEvents = map[tmevent.Name]bool{
	tmevent.EndpointSilent: true, tmevent.EndpointAnswers: true, tmevent.EndpointLost: true,
	tmevent.EndpointSlow: true, tmevent.EndpointAvoided: true, tmevent.EndpointDraining: true,
	tmevent.EndpointUnlisted: true, tmevent.EndpointRestarted: true,
}

// around returns what happened to the owner, the store and the endpoints of the
// job meanwhile.
func (l *Logs) around(own []Line, from, to time.Time) []Line {
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

// stage orders the events of one run.
var stage = map[tmevent.Name]int{
	tmevent.CallerSubmit: 0, tmevent.TaskPlaced: 1, tmevent.StartAnswer: 2, tmevent.RunStopping: 3,
	tmevent.RunEnded: 4, tmevent.RunGone: 4, tmevent.RunLost: 4,
}

// order sorts by time, but puts the events of one run in the order in which they
// must have happened: clocks of nodes differ.
func order(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
	last := map[string]int{}
	for i := range lines {
		rank, ok := stage[lines[i].Event]
		key := lines[i].text("task") + "/" + lines[i].text("run")
		if !ok || key == "/" {
			continue
		}
		if prev, seen := last[key]; seen && stage[lines[prev].Event] > rank {
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
	f := &finder{placed: map[string]Line{}}
	for _, line := range own {
		f.take(line)
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

// finder gathers what the lines of a job say.
type finder struct {
	submitted, begun, final Line
	problems                []string
	// placed are runs without an end.
	placed map[string]Line
}

func (f *finder) take(line Line) {
	key := line.text("task") + " run " + line.text("run")
	switch line.Event {
	case tmevent.CallerSubmit, tmevent.CallerCancel, tmevent.CallerState:
		f.takeCall(line)
	case tmevent.CallerRefused:
		f.add("refused with status %s by %s: %s", line.text("status"), line.Node, line.text("cause"))
	case tmevent.TaskPlaced:
		if f.begun.Time.IsZero() {
			f.begun = line
		}
		f.placed[key] = line
	case tmevent.StartAnswer:
		f.add("%s: start answered %s by %s", key, line.text("answer"), line.text("endpoint"))
	case tmevent.RunLost, tmevent.RunGone:
		delete(f.placed, key)
		f.add("%s: lost on %s, %s", key, line.text("endpoint"), line.text("cause"))
	case tmevent.RunEnded:
		delete(f.placed, key)
		if how := line.text("how"); how != "done" {
			f.add("%s: ended %s on %s", key, how, line.text("endpoint"))
		}
	case tmevent.JobFinal:
		f.final = line
	}
}

func (f *finder) takeCall(line Line) {
	outcome := line.text("outcome")
	if outcome != "ok" {
		f.add("%s at %s: %s after %s ms", line.Event, line.Node, outcome, line.text("took_ms"))
		return
	}
	if line.Event == tmevent.CallerSubmit && f.submitted.Time.IsZero() {
		f.submitted = line
	}
}

func (f *finder) add(format string, args ...any) {
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

func (f *finder) summary() []string {
	var out []string
	switch {
	case f.submitted.Time.IsZero():
		out = append(out, "no node logged that it accepted the job")
	case f.begun.Time.IsZero():
		out = append(out, "accepted, but no task got a place: no room, the limit of its team, or no owner")
	case f.begun.Time.Sub(f.submitted.Time) > slowStart:
		out = append(out, fmt.Sprintf("the first task waited %d ms for a place", f.begun.Time.Sub(f.submitted.Time).Milliseconds()))
	}
	out = append(out, f.problems...)
	if f.final.Time.IsZero() {
		for _, key := range sortedKeys(f.placed) {
			out = append(out, fmt.Sprintf("gap: %s on %s has no end", key, f.placed[key].text("endpoint")))
		}
		return append(out, "gap: no node logged an outcome")
	}
	took := ""
	if !f.submitted.Time.IsZero() {
		took = fmt.Sprintf(" %d ms after it was accepted", f.final.Time.Sub(f.submitted.Time).Milliseconds())
	}
	return append(out, fmt.Sprintf("%s%s: %s", f.final.text("state"), took, f.final.text("cause")))
}

func sortedKeys(m map[string]Line) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Write prints the report for people.
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
