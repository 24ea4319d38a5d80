// Package tmeventlog writes the decision log: JSON lines on one writer, through
// a bounded buffer. A slow writer loses lines, which are counted; it never
// delays the process.
package tmeventlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"turmericmoor/core/tmevent"

	"github.com/charmbracelet/log"
)

const (
	// bufferLines bounds the lines that wait for the writer.
	bufferLines = 4096
	// maxPerSecond bounds the lines of one event in a second; the rest is summed
	// up in one line.
	maxPerSecond = 1000
	// bufferBytes bounds what is written at once while lines wait.
	bufferBytes = 32 << 10
)

type line struct {
	name   tmevent.Name
	fields []any
}

// Log is a decision log. It is safe for concurrent use.
type Log struct {
	out     *log.Logger
	buffer  *bufio.Writer
	lines   chan line
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	counts map[tmevent.Name]int
	closed bool
}

// New returns a log that writes to w, with the name of the node in each line.
func New(w io.Writer, node string) *Log {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	l := &Log{
		buffer: buffer,
		out: log.NewWithOptions(buffer, log.Options{
			Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
		}).With("node", node),
		lines: make(chan line, bufferLines), done: make(chan struct{}), counts: map[tmevent.Name]int{},
	}
	go l.write()
	return l
}

// Note writes one event with pairs of a name and a value.
func (l *Log) Note(name tmevent.Name, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if now := time.Now().Unix(); now != l.second {
		for event, n := range l.counts {
			if n > maxPerSecond {
				l.send(line{tmevent.LinesLeftOut, []any{"event", string(event), "count", n - maxPerSecond}})
			}
		}
		l.second = now
		clear(l.counts)
	}
	l.counts[name]++
	if l.counts[name] <= maxPerSecond {
		l.send(line{name, fields})
	}
}

func (l *Log) send(n line) {
	select {
	case l.lines <- n:
		l.total.Add(1)
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that the writer was too slow for.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines handed to the writer.
func (l *Log) Written() int64 { return l.total.Load() }

func (l *Log) write() {
	defer close(l.done)
	reported := int64(0)
	for n := range l.lines {
		l.out.Info(string(n.name), n.fields...)
		if d := l.dropped.Load(); d > reported && len(l.lines) == 0 {
			l.out.Warn(string(tmevent.LinesDropped), "count", d-reported)
			reported = d
		}
		if len(l.lines) == 0 {
			// An error here means that nobody reads the log.
			_ = l.buffer.Flush()
		}
	}
}

// Close writes the lines that wait, for at most that long.
func (l *Log) Close(limit time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
