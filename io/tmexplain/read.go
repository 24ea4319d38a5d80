// Package tmexplain reads decision logs and reports the history of one job: which
// node decided what on which inputs, which log lines are missing, and what delayed
// the job.
package tmexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"turmericmoor/core/tmevent"
)

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// Line is one line of a decision log.
type Line struct {
	Time  time.Time
	Node  string
	Event tmevent.Name
	// Fields holds all other fields by name.
	Fields map[string]any
}

// text returns a field as text, or "" if it is missing.
func (l Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// Logs holds the lines of any number of decision logs.
type Logs struct {
	lines []Line
	// unreadable counts lines without a JSON object that has a valid time.
	unreadable int
}

// Unreadable returns the number of lines that were skipped because they could not
// be parsed.
func (l *Logs) Unreadable() int { return l.unreadable }

// Range returns the earliest and the latest time of all lines.
func (l *Logs) Range() (first, last time.Time) {
	for _, line := range l.lines {
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	return first, last
}

// Read adds a log. Text before the first brace of a line is ignored, so that logs
// from collectors that prefix each line can be read.
func (l *Logs) Read(r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scan.Scan() {
		text := scan.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		line, ok := parse(text)
		if !ok {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("tmexplain: %w", err)
	}
	return nil
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	timestamp, _ := fields["time"].(string)
	when, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: when, Fields: fields}
	line.Node = line.text("node")
	line.Event = tmevent.Name(line.text("msg"))
	for _, known := range []string{"time", "level", "msg", "node"} {
		delete(fields, known)
	}
	return line, true
}
